package measure

// sections lists the sections in the order in which they run on each deployment.
// Section 1 has a deployment of its own and is not listed.
var sections = []section{
	{2, (*session).tails},
	{3, (*session).losses},
	{4, (*session).balance},
	{5, (*session).workloads},
	{6, (*session).resources},
}
