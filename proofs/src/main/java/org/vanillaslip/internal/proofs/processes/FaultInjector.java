package org.vanillaslip.internal.proofs.processes;

import java.util.Map;

/** Injects faults into the stand-ins of a deployment and removes them. */
public final class FaultInjector {

    private static final String NO_PLATFORM_FAULTS =
            "{\"outage\": false, \"latencyMillis\": 0, \"lostWriteAnswers\": 0,"
                    + " \"silentWatches\": false, \"refusedFailureDomains\": []}";

    private final Deployment mDeployment;

    /** Creates a fault injector for the given deployment. */
    public FaultInjector(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Sets faults of the platform; the body is sent to its path {@code /faults}. */
    public void setPlatformFaults(String body) {
        postFaults(mDeployment.platformAddress(), body);
    }

    /** Sets a fault for the given number of calls to each plain service. */
    public void setServiceFault(String fault, int times, long delayMillis) {
        String body =
                "{\"fault\": \"%s\", \"times\": %d, \"delay_millis\": %d}"
                        .formatted(fault, times, delayMillis);
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("service"))
                .forEach(name -> postFaults(mDeployment.backendAddress(name), body));
    }

    /** Sets faults of all engines; the body is sent to their path {@code /faults}. */
    public void setEngineFaults(String body) {
        mDeployment.backendServerNames().stream()
                .filter(name -> name.startsWith("engine"))
                .forEach(name -> postFaults(mDeployment.backendAddress(name), body));
    }

    /** Restarts an engine at the same address with no model loaded. */
    public void restartEngineWithoutModels(String name) {
        mDeployment.caller().post(mDeployment.backendAddress(name), "/restart", Map.of(), "");
    }

    /** Removes all faults, resumes suspended hosts and restarts killed ones. */
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
                    "The fault " + body + " was rejected with status " + response.status() + ".");
        }
    }
}
