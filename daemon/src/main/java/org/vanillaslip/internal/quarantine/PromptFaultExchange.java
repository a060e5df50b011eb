package org.vanillaslip.internal.quarantine;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.AnsweredPart;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PromptFaults;
import org.vanillaslip.messages.QuarantinedPart;
import org.vanillaslip.messages.UnansweredCall;
import reactor.core.publisher.Mono;

/**
 * Finds prompt parts under which servers crash, together with all other hosts, and keeps them from
 * the servers. Each host sees only some of the crashes and answers. All hosts tell each other the
 * calls that went unanswered; for parts that come under suspicion, they tell each other the last
 * answer. Findings are also repeated in heartbeats.
 */
public final class PromptFaultExchange {

    /** Calls with a part are not sent for this long after servers have crashed under it. */
    static final Duration QUARANTINE_TIME = Duration.ofMinutes(5);

    /** Hosts answer a suspicion within this time; those that know no later answer stay silent. */
    private static final Duration MAX_ANNOUNCEMENT_DELAY = Duration.ofMillis(100);

    /** Leaves time for the answers of all hosts to arrive over relays. */
    private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(300);

    /** Calls that break together are reported in one message. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(20);

    private static final int MAX_CALLS_PER_REPORT = 64;
    private static final int MAX_PARTS_PER_CALL = 16;

    /** In characters; longer ids are not tracked. */
    private static final int MAX_PART_LENGTH = 128;

    private static final int MAX_ANSWERED_PARTS = 8192;

    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final QuarantineRecord mRecord;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final CrashingPartDetector mDetector = new CrashingPartDetector();
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final Map<String, Long> mOwnAnswers = new BoundedMap<>(MAX_ANSWERED_PARTS);
    private final List<UnansweredCall> mUnreported = new ArrayList<>();
    private BiConsumer<String, RefusedException> mOnQuarantine = (part, refusal) -> {};
    private Set<String> mSuspects = Set.of();
    private boolean mAnnouncementScheduled;
    private boolean mDecisionScheduled;

    /** Creates an exchange that is not started. */
    public PromptFaultExchange(
            PeerLinks links,
            QuarantineRecord record,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log) {
        mLinks = links;
        mRecord = record;
        mLoop = loop;
        mRandom = random;
        mLog = log;
    }

    /** Starts to receive what other hosts have seen. */
    public void start() {
        mRecord.load(this::adopt);
        mLinks.handle(Envelope.BodyCase.PROMPT_FAULTS, this::onPromptFaults);
        mLinks.handle(Envelope.BodyCase.HEARTBEAT, this::onHeartbeat);
    }

    private Mono<Envelope.Builder> onHeartbeat(Envelope message) {
        for (QuarantinedPart part : message.getHeartbeat().getQuarantinedPartsList()) {
            adopt(part);
        }
        return Mono.empty();
    }

    /** Registers a listener for parts that no server may get from now on, and the refusal. */
    public void onQuarantine(BiConsumer<String, RefusedException> listener) {
        mOnQuarantine = listener;
    }

    /** Throws {@link RefusedException} if no server may get one of the parts. */
    public void checkParts(List<String> parts) {
        mQuarantine
                .find(parts, now())
                .ifPresent(
                        entry -> {
                            throw refusal(entry);
                        });
    }

    /** Returns whether no server may get one of the parts. */
    public boolean isQuarantined(List<String> parts) {
        return mQuarantine.find(parts, now()).isPresent();
    }

    private static RefusedException refusal(PromptQuarantine.Entry entry) {
        return new RefusedException(
                Refusal.retryable(ResultCode.PROMPT_QUARANTINED, entry.part(), entry.remaining()));
    }

    /** Returns all parts that no server may get, for heartbeats. */
    public List<QuarantinedPart> quarantinedParts() {
        return mQuarantine.entries(now()).stream().map(PromptFaultExchange::toMessage).toList();
    }

    /** Records that a server began to answer a call with the parts. */
    public void recordAnswer(List<String> parts) {
        for (String part : tracked(parts)) {
            mOwnAnswers.put(part, now());
            if (mSuspects.contains(part)) {
                scheduleAnnouncement();
            }
        }
    }

    /** Records a call whose server ended the connection before it began to answer. */
    public void recordUnanswered(String server, String callId, List<String> parts) {
        List<String> reportedParts = tracked(parts);
        if (reportedParts.isEmpty()) {
            return;
        }
        mLog.log(
                QuarantineEvent.CALL_UNANSWERED,
                field("request", callId),
                field("server", server),
                field("prompt_parts", String.join(",", reportedParts)));
        if (mUnreported.size() >= MAX_CALLS_PER_REPORT) {
            mLog.log(QuarantineEvent.EVIDENCE_DROPPED, field("request", callId));
        } else {
            if (mUnreported.isEmpty()) {
                schedule(this::report, REPORT_DELAY);
            }
            mUnreported.add(
                    UnansweredCall.newBuilder()
                            .setServer(server)
                            .setCallId(callId)
                            .addAllPromptParts(reportedParts)
                            .build());
        }
        addEvidence(server, callId, reportedParts);
        considerEvidence();
    }

    /** Callers choose the ids, so their number and length are bounded. */
    private static List<String> tracked(List<String> parts) {
        return parts.stream()
                .filter(part -> part.length() <= MAX_PART_LENGTH)
                .limit(MAX_PARTS_PER_CALL)
                .toList();
    }

    private void report() {
        mLinks.broadcast(
                Envelope.newBuilder()
                        .setPromptFaults(
                                PromptFaults.newBuilder().addAllUnansweredCalls(mUnreported)));
        mUnreported.clear();
    }

    private Mono<Envelope.Builder> onPromptFaults(Envelope message) {
        PromptFaults faults = message.getPromptFaults();
        for (AnsweredPart answer : faults.getAnsweredPartsList()) {
            long age = Duration.ofMillis(answer.getAgeMillis()).toNanos();
            mDetector.recordAnswer(answer.getPart(), now() - age);
        }
        for (UnansweredCall call : faults.getUnansweredCallsList()) {
            addEvidence(call.getServer(), call.getCallId(), call.getPromptPartsList());
        }
        for (QuarantinedPart part : faults.getQuarantinedPartsList()) {
            adopt(part);
        }
        considerEvidence();
        return Mono.empty();
    }

    private void addEvidence(String server, String callId, List<String> parts) {
        if (mQuarantine.find(parts, now()).isPresent()) {
            mDetector.explainCrash(server);
            return;
        }
        mDetector.recordUnanswered(
                new org.vanillaslip.internal.quarantine.UnansweredCall(server, callId, parts),
                now());
    }

    private void considerEvidence() {
        mSuspects = mDetector.suspects(now());
        if (!unknownAnswers().isEmpty()) {
            scheduleAnnouncement();
        }
        if (mDetector.findCrashingPart(now()).isPresent()) {
            scheduleDecision();
        }
    }

    /** Returns this host's answers to suspected parts that are later than those known to all. */
    private Map<String, Long> unknownAnswers() {
        Map<String, Long> answers = new LinkedHashMap<>();
        for (String part : mSuspects) {
            Long answered = mOwnAnswers.get(part);
            if (answered != null && mDetector.isNewerAnswer(part, answered)) {
                answers.put(part, answered);
            }
        }
        return answers;
    }

    /** Waits for a random time, so that one host answers for all in most cases. */
    private void scheduleAnnouncement() {
        if (!mAnnouncementScheduled) {
            mAnnouncementScheduled = true;
            long delay = mRandom.nextLong(MAX_ANNOUNCEMENT_DELAY.toNanos());
            schedule(this::announceAnswers, Duration.ofNanos(delay));
        }
    }

    private void announceAnswers() {
        mAnnouncementScheduled = false;
        PromptFaults.Builder faults = PromptFaults.newBuilder();
        unknownAnswers()
                .forEach(
                        (part, answered) -> {
                            mDetector.recordAnswer(part, answered);
                            long age = Duration.ofNanos(now() - answered).toMillis();
                            faults.addAnsweredParts(
                                    AnsweredPart.newBuilder()
                                            .setPart(part)
                                            .setAgeMillis((int) Math.min(age, Integer.MAX_VALUE)));
                        });
        if (faults.getAnsweredPartsCount() > 0) {
            mLinks.broadcast(Envelope.newBuilder().setPromptFaults(faults));
            mSuspects = mDetector.suspects(now());
        }
    }

    private void scheduleDecision() {
        if (!mDecisionScheduled) {
            mDecisionScheduled = true;
            // The first host to decide spares the others their messages and writes.
            long jitter = mRandom.nextLong(MAX_ANNOUNCEMENT_DELAY.toNanos());
            schedule(this::decide, CONFIRMATION_DELAY.plusNanos(jitter));
        }
    }

    private void decide() {
        mDecisionScheduled = false;
        List<PromptQuarantine.Entry> entries = new ArrayList<>();
        long confirmedUntil = now() - CONFIRMATION_DELAY.toNanos();
        Optional<String> found = mDetector.findCrashingPart(confirmedUntil);
        while (found.isPresent()) {
            PromptQuarantine.Entry entry = new PromptQuarantine.Entry(found.get(), QUARANTINE_TIME);
            if (quarantine(entry, QuarantineEvent.PART_FOUND)) {
                entries.add(entry);
            }
            found = mDetector.findCrashingPart(confirmedUntil);
        }
        if (!entries.isEmpty()) {
            PromptFaults.Builder faults = PromptFaults.newBuilder();
            entries.forEach(entry -> faults.addQuarantinedParts(toMessage(entry)));
            mLinks.broadcast(Envelope.newBuilder().setPromptFaults(faults));
            mRecord.save(entries);
        }
        considerEvidence();
    }

    private void adopt(QuarantinedPart part) {
        adopt(
                new PromptQuarantine.Entry(
                        part.getPart(), Duration.ofMillis(part.getRemainingMillis())));
    }

    private void adopt(PromptQuarantine.Entry entry) {
        boolean tooLong = entry.remaining().compareTo(QUARANTINE_TIME) > 0;
        quarantine(
                tooLong ? new PromptQuarantine.Entry(entry.part(), QUARANTINE_TIME) : entry,
                QuarantineEvent.PART_ADOPTED);
    }

    private boolean quarantine(PromptQuarantine.Entry entry, QuarantineEvent event) {
        boolean added = mQuarantine.add(entry, now());
        mDetector.explainCrashes(entry.part());
        if (added) {
            mLog.log(
                    event,
                    field("part", entry.part()),
                    field("remaining_ms", entry.remaining().toMillis()));
            mOnQuarantine.accept(entry.part(), refusal(entry));
        }
        return added;
    }

    private static QuarantinedPart toMessage(PromptQuarantine.Entry entry) {
        return QuarantinedPart.newBuilder()
                .setPart(entry.part())
                .setRemainingMillis((int) entry.remaining().toMillis())
                .build();
    }

    private void schedule(Runnable task, Duration delay) {
        mLoop.scheduler().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
