package measure

// sections run in this order on each deployment.
var sections = []section{
	{2, (*session).tails},
	{3, (*session).losses},
	{4, (*session).balance},
	{5, (*session).workloads},
	{6, (*session).resources},
}
