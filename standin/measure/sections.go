package measure

// sections run in this order on each deployment.
var sections = []section{
	{2, (*session).tails},
}
