package org.vanillaslip.internal.proofs.measures;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the charts of the measures. */
final class Charts {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private Charts() {}

    /** Draws idle hours against cold requests: one line by weight, one point per baseline. */
    static void coldStarts(
            String deployment,
            List<ColdStartResult> learned,
            List<ColdStartResult> baselines,
            Path directory) {
        XYSeriesCollection series = new XYSeriesCollection();
        XYSeries byWeight = new XYSeries("chosen policy, weight 0.1 to 0.9", false);
        learned.forEach(result -> byWeight.add(result.idleHours(), coldPercent(result)));
        series.addSeries(byWeight);
        for (ColdStartResult result : baselines) {
            XYSeries point = new XYSeries(result.rule());
            point.add(result.idleHours(), coldPercent(result));
            series.addSeries(point);
        }
        JFreeChart chart =
                ChartFactory.createScatterPlot(
                        deployment + ": cold requests against idle accelerator hours",
                        "idle accelerator hours",
                        "requests that met a cold model, %",
                        series,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        save(chart, directory, "cold-start-" + deployment);
    }

    /** Draws a share over time. */
    static void shares(String title, XYDataset series, Path directory, String name) {
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        "minutes",
                        "answered in time, %",
                        series,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        save(chart, directory, name);
    }

    private static double coldPercent(ColdStartResult result) {
        return 100.0 * result.cold() / result.requests();
    }

    private static void save(JFreeChart chart, Path directory, String name) {
        Path file = directory.resolve(name.toLowerCase(Locale.ROOT) + ".png");
        try {
            Files.createDirectories(directory);
            ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
