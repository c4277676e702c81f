package measure

// sections lists the sections in the order in which they run on each testbed.
// Section 1 runs on a cluster without network delays and is not listed.
var sections = []section{
	{2, (*session).tails},
	{3, (*session).losses},
	{4, (*session).balance},
	{5, (*session).workloads},
	{6, (*session).resources},
}
