package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against servers that count as crashed, and calls that wait although they are refused. */
class CrashSubjectsTest {

    private static final CallTarget TARGET = new CallTarget("pool", Optional.empty());
    private static final String CRASHING = "call:bad";

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final PlainServers mCollections = new PlainServers();
    private final FleetDirectory mDirectory =
            new FleetDirectory(
                    mCollections,
                    new DrainFollower(mCollections, mLoop, (event, fields) -> {}),
                    mLoop,
                    new StoreAnswerHistory(),
                    (event, fields) -> {});
    private final List<String> mRefused = new ArrayList<>();

    /** Guards against a host that takes all servers for ended until it has read their list. */
    @Test
    void noServerHasEndedBeforeTheListIsRead() {
        assertThat(mDirectory.failureDomain("s1@1")).contains("");
    }

    @Test
    void aStartOfAServerEndsWithItsEntryOrWithTheNextStart() {
        list(1, "s1", "s2");
        assertThat(mDirectory.failureDomain("s1@1")).contains("d0");
        assertThat(mDirectory.failureDomain("s1@2")).isEmpty();

        mCollections.setStartedAtMillis(2);
        list(2, "s1");

        assertThat(mDirectory.failureDomain("s1@1")).isEmpty();
        assertThat(mDirectory.failureDomain("s1@2")).contains("d0");
        assertThat(mDirectory.failureDomain("s2@1")).isEmpty();
        assertThat(mDirectory.failureDomain("no start")).isEmpty();
    }

    /** Guards against a call that is found while it waits, and is sent all the same. */
    @Test
    void aCallThatIsFoundWhileItWaitsIsRefusedAtOnce() {
        list(1, "s1");
        WaitingCallQueue queue =
                new WaitingCallQueue(
                        new ServerSelector(
                                mDirectory,
                                Optional::empty,
                                new FailureDomain("d0"),
                                () -> 1,
                                PermitSource.NONE,
                                mLoop,
                                new Random(1)),
                        mLoop,
                        100);
        queue.setLeaseHolderReachable(() -> true);
        makeTheServerUnreachable();
        submit(queue, "crashing", List.of(CRASHING));
        submit(queue, "sound", List.of("call:sound"));

        queue.refuseCallsWith(
                CRASHING, new RefusedException(Refusal.of(ResultCode.CALL_QUARANTINED, CRASHING)));

        assertThat(mRefused).containsExactly("crashing CALL_QUARANTINED");
    }

    private void makeTheServerUnreachable() {
        FleetMember server = mDirectory.member("s1").orElseThrow();
        server.health().recordUnreachable(mLoop.clock().nowNanos());
        server.health().recordUnreachable(mLoop.clock().nowNanos());
    }

    private void submit(WaitingCallQueue queue, String call, List<String> crashSubjects) {
        long deadline = mLoop.clock().nowNanos() + Duration.ofSeconds(10).toNanos();
        queue.awaitSlot(
                        new ServerRequest(
                                call, TARGET, crashSubjects, List.of(), Optional.empty(), Set.of()),
                        new WaitBounds(0, deadline, deadline, false))
                .subscribe(
                        slot -> {},
                        error ->
                                mRefused.add(
                                        call + " " + ((RefusedException) error).refusal().code()));
    }

    private void list(long version, String... names) {
        mDirectory.listed(
                new ObjectList(
                        version,
                        List.of(names).stream()
                                .map(
                                        name ->
                                                new StoredObject(
                                                        "servers",
                                                        name,
                                                        version,
                                                        JsonNodeFactory.instance.objectNode()))
                                .toList()));
    }
}
