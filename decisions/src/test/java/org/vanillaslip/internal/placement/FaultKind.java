package org.vanillaslip.internal.placement;

import java.util.function.BiConsumer;

/** Faults that are injected while a host executes an action. */
enum FaultKind {
    NONE((faults, host) -> {}),
    KILL((faults, host) -> host.restart()),
    HOST_RECLAIMED((faults, host) -> host.mReclaimed = true),
    FREEZE_PAST_LEASE((faults, host) -> faults.freeze(host, 25)),
    ANSWER_LOST((faults, host) -> faults.mStore.mAnswersToLose = 2),
    WRITE_LATE((faults, host) -> faults.mStore.mWritesToDelay = 1),
    OUTAGE(
            (faults, host) -> {
                faults.mStore.mUnavailable = true;
                faults.reconnectAfter(25);
            }),
    TWO_HOLDERS(
            (faults, host) -> {
                faults.mStore.disconnect(host.mName);
                faults.reconnectAfter(25);
            }),
    SERVERS_RESTARTED((faults, host) -> faults.mServers.forEach(FakeServer::restart)),
    OUTAGE_AND_SERVERS_RESTARTED(
            (faults, host) -> {
                faults.mStore.mUnavailable = true;
                faults.reconnectAfter(25);
                faults.mServers.forEach(FakeServer::restart);
            }),
    PLANNED_STOP(ShardFaults::stopAsPlanned),
    HOST_PARTITIONED((faults, host) -> faults.partition(host)),
    OTHER_PARTITIONED((faults, host) -> faults.partition(faults.otherHost(host))),
    OTHER_PARTITIONED_AND_SERVERS_RESTARTED(
            (faults, host) -> {
                faults.partition(faults.otherHost(host));
                faults.freeze(host, 10);
                faults.restartServersAfter(32);
            }),
    READ_LATE_PARTITIONED_AND_SERVERS_RESTARTED(
            (faults, host) -> {
                faults.restartWithLateRead(faults.otherHost(host), 14);
                faults.partitionAfter(faults.otherHost(host), 14);
                faults.restartServersAfter(20);
            }),
    OUTAGE_AND_RESTARTS(
            (faults, host) -> {
                faults.outageWithLateOrders();
                faults.restartHostsAfter(20);
            }),
    OUTAGE_AND_RECLAIMED(
            (faults, host) -> {
                faults.outageWithLateOrders();
                faults.reclaimAfter(host, 20);
            }),
    OUTAGE_DURING_HAND_OVER(
            (faults, host) -> {
                faults.freeze(host, 20);
                faults.outageAfter(9);
            }),
    OUTAGE_TWICE(
            (faults, host) -> {
                FaultKind.OUTAGE.inject(faults, host);
                faults.outageAfter(30);
            }),
    HAND_OVER_TWICE(
            (faults, host) -> {
                faults.freeze(host, 12);
                faults.delayNextOrders(3);
                faults.freezeAfter(faults.otherHost(host), 14);
            }),
    ORDERS_LATE((faults, host) -> faults.delayNextOrders(2)),
    LATE_ORDERS_AND_FREEZE(
            (faults, host) -> {
                faults.delayNextOrders(2);
                faults.freeze(host, 15);
            }),
    FREEZE_AND_SERVERS_RESTARTED(
            (faults, host) -> {
                faults.freeze(host, 25);
                faults.mServers.forEach(FakeServer::restart);
            });

    private final BiConsumer<ShardFaults, FakeHost> mInjection;

    FaultKind(BiConsumer<ShardFaults, FakeHost> injection) {
        mInjection = injection;
    }

    void inject(ShardFaults faults, FakeHost host) {
        mInjection.accept(faults, host);
    }
}
