package org.vanillaslip.internal.placement;

import java.util.function.BiConsumer;

/** Faults that strike a host while it carries out an action. */
enum FaultKind {
    NONE((simulation, host) -> {}),
    KILL((simulation, host) -> host.restart()),
    HOST_RECLAIMED((simulation, host) -> host.mDead = true),
    FREEZE_PAST_LEASE((simulation, host) -> simulation.freeze(host, 25)),
    ANSWER_LOST((simulation, host) -> simulation.mStore.mLoseAnswers = 2),
    WRITE_LATE((simulation, host) -> simulation.mStore.mLoseRequests = 1),
    OUTAGE(
            (simulation, host) -> {
                simulation.mStore.mDown = true;
                simulation.healAfter(25);
            }),
    TWO_HOLDERS(
            (simulation, host) -> {
                simulation.mStore.cutOff(host.mName);
                simulation.healAfter(25);
            }),
    SERVERS_COLD_AGAIN((simulation, host) -> simulation.mServers.forEach(FakeServer::restart)),
    OUTAGE_AND_COLD_AGAIN(
            (simulation, host) -> {
                simulation.mStore.mDown = true;
                simulation.healAfter(25);
                simulation.mServers.forEach(FakeServer::restart);
            }),
    ORDERS_LATE((simulation, host) -> simulation.delayNextOrders(2)),
    LATE_ORDERS_AND_FREEZE(
            (simulation, host) -> {
                simulation.delayNextOrders(2);
                simulation.freeze(host, 15);
            }),
    FREEZE_AND_COLD_AGAIN(
            (simulation, host) -> {
                simulation.freeze(host, 25);
                simulation.mServers.forEach(FakeServer::restart);
            });

    private final BiConsumer<ShardSimulation, FakeHost> mInjection;

    FaultKind(BiConsumer<ShardSimulation, FakeHost> injection) {
        mInjection = injection;
    }

    void inject(ShardSimulation simulation, FakeHost host) {
        mInjection.accept(simulation, host);
    }
}
