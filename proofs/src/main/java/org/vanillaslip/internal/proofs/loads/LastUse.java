package org.vanillaslip.internal.proofs.loads;

/** When a model on an engine served a call last. */
@FunctionalInterface
public interface LastUse {

    /** Returns the time in milliseconds, 0 for never. */
    long lastUseMillis(String engine, String model);
}
