package org.vanillaslip.internal.proofs.processes;

/** Fully qualified names of the main classes that a deployment starts. */
final class MainClassNames {

    static final String DAEMON = "org.vanillaslip.internal.runtime.DaemonMain";
    static final String COMMAND_LINE = "org.vanillaslip.internal.commandline.CommandLineMain";
    static final String PLATFORM = "org.vanillaslip.internal.standins.platform.PlatformStandIn";
    static final String ENGINE = "org.vanillaslip.internal.standins.engine.EngineStandIn";
    static final String SERVICE = "org.vanillaslip.internal.standins.service.ServiceStandIn";

    private MainClassNames() {}
}
