// Monsoonsoak runs monsoontiller as separate processes under faults that a seed decides, and checks its promises.
package main
