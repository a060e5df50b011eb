package org.vanillaslip.internal.proofs.demo;

import java.nio.file.Files;
import java.nio.file.Path;
import org.vanillaslip.internal.proofs.processes.Deployment;

/** Runs the demo with each example deployment; exits with 1 if an answer is wrong. */
public final class DemoMain {

    private DemoMain() {}

    /** Runs the demo; the only argument is the directory of the example list files. */
    public static void main(String[] arguments) throws Exception {
        Path examples = Path.of(arguments[0]);
        CheckReport report = new CheckReport(System.out);
        for (DemoScenario scenario : DemoScenario.all()) {
            Path directory = Files.createTempDirectory("vanillaslip-demo");
            System.out.println("== " + scenario.listsFile() + ", logs in " + directory);
            try (Deployment deployment =
                    Deployment.start(examples.resolve(scenario.listsFile()), directory)) {
                new DemoRun(deployment, scenario, report, System.out).run();
            }
        }
        System.exit(report.printSummary());
    }
}
