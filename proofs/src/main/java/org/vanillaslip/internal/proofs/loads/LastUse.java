package org.vanillaslip.internal.proofs.loads;

/** Looks up when a model on an engine last served a call. */
@FunctionalInterface
public interface LastUse {

    /** Returns the virtual time in milliseconds, or 0 if the model has not served a call. */
    long lastUseMillis(String engine, String model);
}
