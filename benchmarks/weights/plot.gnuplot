# Seconds until all engines serve, and copies from the origin, by size.
set datafile separator ","
set terminal png size 1100,460
set output "docs/measurements/weights.png"
set multiplot layout 1,2
set key left top
set logscale xy
set xlabel "agents (three regions, version of 8 MiB)"
row(name, column) = sprintf("< awk -F, '$1 == \"%s\" && $2 == 3 && $4 == 8 && $5 == 1 {print $3 \",\" $%d}' docs/measurements/weights.csv", name, column)
set ylabel "seconds until all engines serve"
plot row("origin", 6) using 1:2 with linespoints title "pull from origin", \
     row("swarm", 6) using 1:2 with linespoints title "random swarm", \
     row("forest", 6) using 1:2 with linespoints title "forest", \
     3.36 title "bytes over the link"
set ylabel "copies from the origin"
plot row("origin", 10) using 1:2 with linespoints title "pull from origin", \
     row("swarm", 10) using 1:2 with linespoints title "random swarm", \
     row("forest", 10) using 1:2 with linespoints title "forest"
unset multiplot
