package org.vanillaslip.internal.proofs.processes;

import java.util.Map;

/** Switches the faults of a deployment's stand-ins and removes them again. */
public final class Faults {

    private static final String NO_PLATFORM_FAULT =
            "{\"outage\": false, \"latencyMillis\": 0, \"lostWriteAnswers\": 0,"
                    + " \"silentWatches\": false, \"refusedFailureDomains\": []}";

    private final Deployment mDeployment;

    /** Creates the switches of one deployment. */
    public Faults(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Puts the platform's faults in force; the body has the fields of its {@code /faults}. */
    public void platform(String body) {
        switchAt(mDeployment.platformAddress(), body);
    }

    /** Puts a fault in force for the next calls of every plain service. */
    public void services(String fault, int times, long delayMillis) {
        String body =
                "{\"fault\": \"%s\", \"times\": %d, \"delay_millis\": %d}"
                        .formatted(fault, times, delayMillis);
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("service"))
                .forEach(name -> switchAt(mDeployment.backendAddress(name), body));
    }

    /** Puts faults in force on every engine; the body has the fields of its {@code /faults}. */
    public void engines(String body) {
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("engine"))
                .forEach(name -> switchAt(mDeployment.backendAddress(name), body));
    }

    /** Restarts an engine without its models at the same address. */
    public void restartEngineCold(String name) {
        mDeployment.caller().post(mDeployment.backendAddress(name), "/restart", Map.of(), "");
    }

    /** Removes every fault, continues frozen hosts and starts killed ones again. */
    public void heal() {
        platform(NO_PLATFORM_FAULT);
        services("none", 0, 0);
        engines("{}");
        mDeployment.hosts().forEach(host -> host.process().thaw());
        mDeployment.hosts().stream()
                .filter(host -> !host.process().isAlive())
                .forEach(host -> mDeployment.restartHost(host.name()));
    }

    private void switchAt(String address, String body) {
        CallerResponse response = mDeployment.caller().post(address, "/faults", Map.of(), body);
        if (response.status() >= 300) {
            throw new IllegalStateException(
                    "The fault " + body + " was refused with " + response.status() + ".");
        }
    }
}
