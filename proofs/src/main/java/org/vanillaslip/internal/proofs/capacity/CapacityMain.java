package org.vanillaslip.internal.proofs.capacity;

import java.io.IOException;
import java.nio.file.Path;

/** Prints the measurements for {@code docs/CAPACITY.md}. */
public final class CapacityMain {

    private CapacityMain() {}

    /** Runs all measurements; the argument is the list file of the deployment. */
    public static void main(String[] arguments) throws IOException {
        System.out.println("## Configuration\n");
        new ConfigurationCapacity(System.out).run();
        System.out.println("\n## Control shard records\n");
        new RecordCapacity(System.out).run();
        System.out.println("\n## Latency on a warm path\n");
        new WarmPathLatency(Path.of(arguments[0]), System.out).run();
        System.out.println("\n## Idle hosts\n");
        new HostCapacity(Path.of(arguments[0]), System.out).run();
    }
}
