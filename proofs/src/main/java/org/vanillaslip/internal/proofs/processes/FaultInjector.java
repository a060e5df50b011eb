package org.vanillaslip.internal.proofs.processes;

import java.util.Map;

/** Switches the faults of a deployment's stand-ins and removes them again. */
public final class FaultInjector {

    private static final String NO_PLATFORM_FAULTS =
            "{\"outage\": false, \"latencyMillis\": 0, \"lostWriteAnswers\": 0,"
                    + " \"silentWatches\": false, \"refusedFailureDomains\": []}";

    private final Deployment mDeployment;

    /** Creates the switches of one deployment. */
    public FaultInjector(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Puts the platform's faults in force; the body has the fields of its {@code /faults}. */
    public void setPlatformFaults(String body) {
        postFaults(mDeployment.platformAddress(), body);
    }

    /** Puts a fault in force for the next calls of every plain service. */
    public void setServiceFault(String fault, int times, long delayMillis) {
        String body =
                "{\"fault\": \"%s\", \"times\": %d, \"delay_millis\": %d}"
                        .formatted(fault, times, delayMillis);
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("service"))
                .forEach(name -> postFaults(mDeployment.backendAddress(name), body));
    }

    /** Puts faults in force on every engine; the body has the fields of its {@code /faults}. */
    public void setEngineFaults(String body) {
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("engine"))
                .forEach(name -> postFaults(mDeployment.backendAddress(name), body));
    }

    /** Restarts an engine without its models at the same address. */
    public void restartEngineWithoutModels(String name) {
        mDeployment.caller().post(mDeployment.backendAddress(name), "/restart", Map.of(), "");
    }

    /** Removes every fault, continues frozen hosts and starts killed ones again. */
    public void removeAll() {
        setPlatformFaults(NO_PLATFORM_FAULTS);
        setServiceFault("none", 0, 0);
        setEngineFaults("{}");
        mDeployment.hosts().forEach(host -> host.process().resume());
        mDeployment.hosts().stream()
                .filter(host -> !host.process().isAlive())
                .forEach(host -> mDeployment.restartHost(host.name()));
    }

    private void postFaults(String address, String body) {
        CallerResponse response = mDeployment.caller().post(address, "/faults", Map.of(), body);
        if (response.status() >= 300) {
            throw new IllegalStateException(
                    "The fault " + body + " was refused with " + response.status() + ".");
        }
    }
}
