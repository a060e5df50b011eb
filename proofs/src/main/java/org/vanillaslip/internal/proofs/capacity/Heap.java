package org.vanillaslip.internal.proofs.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.function.Supplier;

/** Measures the heap that a value retains. */
final class Heap {

    private static final int GC_RUNS = 4;

    private Heap() {}

    /** Creates a value and returns it with the increase in used heap after garbage collection. */
    static <T> Retained<T> retainedBy(Supplier<T> creation) {
        long before = usedBytes();
        T value = creation.get();
        return new Retained<>(value, usedBytes() - before);
    }

    private static long usedBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < GC_RUNS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** A value and the heap that it retains. */
    record Retained<T>(T value, long bytes) {}
}
