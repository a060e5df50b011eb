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
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.AnsweredPart;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.PromptFaults;
import org.vanillaslip.messages.QuarantinedPart;
import reactor.core.publisher.Mono;

/**
 * Finds prompt parts and repeated calls under which servers crash, together with all other hosts,
 * and keeps them from the servers. Each host sees only some of the crashes and answers. All hosts
 * tell each other the calls that went unanswered; for parts and calls that come under suspicion,
 * they tell each other the last answer. Findings are also repeated in heartbeats.
 */
public final class PromptFaultExchange {

    static final Duration QUARANTINE_TIME = SharedQuarantine.QUARANTINE_TIME;

    /** Hosts answer a suspicion within this time; those that know no later answer stay silent. */
    private static final Duration MAX_ANNOUNCEMENT_DELAY = Duration.ofMillis(100);

    /** Leaves time for the answers of all hosts to arrive over relays. */
    private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(300);

    /** Calls that break together are reported in one message. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(20);

    private static final int MAX_CALLS_PER_REPORT = 64;

    /** The call itself and parts of its prompt. */
    private static final int MAX_SUBJECTS_PER_CALL = 17;

    /** In characters; longer ids are not tracked. */
    private static final int MAX_PART_LENGTH = 128;

    private static final int MAX_ANSWERED_SUBJECTS = 8192;

    /** An entry of the server list ends some time after its process. */
    private static final Duration SERVER_CHECK_INTERVAL = Duration.ofMillis(100);

    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final QuarantineRecord mRecord;
    private final Function<String, Optional<String>> mFailureDomains;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final CrashingPartDetector mDetector = new CrashingPartDetector();
    private final SharedQuarantine mQuarantine;
    private final Map<String, Long> mPartAnswers = new BoundedMap<>(MAX_ANSWERED_SUBJECTS);
    private final Map<String, Long> mCallAnswers = new BoundedMap<>(MAX_ANSWERED_SUBJECTS);
    private final List<org.vanillaslip.messages.UnansweredCall> mUnreported = new ArrayList<>();
    private Set<String> mSuspects = Set.of();
    private boolean mAnnouncementScheduled;
    private boolean mDecisionScheduled;
    private boolean mServerCheckScheduled;

    /**
     * Creates an exchange that is not started.
     *
     * @param failureDomains returns the failure domain of a start of a server, while it is listed
     */
    public PromptFaultExchange(
            PeerLinks links,
            QuarantineRecord record,
            Function<String, Optional<String>> failureDomains,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log) {
        mLinks = links;
        mRecord = record;
        mFailureDomains = failureDomains;
        mLoop = loop;
        mRandom = random;
        mLog = log;
        mQuarantine = new SharedQuarantine(loop, log);
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

    /** Registers a listener for parts and calls that no server may get from now on. */
    public void onQuarantine(BiConsumer<String, RefusedException> listener) {
        mQuarantine.onQuarantine(listener);
    }

    /** Throws {@link RefusedException} if no server may get one of the parts or calls. */
    public void checkParts(List<String> parts) {
        mQuarantine.check(parts);
    }

    /** Returns whether no server may get one of the parts or calls. */
    public boolean isQuarantined(List<String> parts) {
        return mQuarantine.containsAny(parts);
    }

    /** Returns all parts and calls that no server may get, and releases, for heartbeats. */
    public List<QuarantinedPart> quarantinedParts() {
        return mQuarantine.toMessages();
    }

    /** Returns all parts and calls that no server may get. */
    public List<PromptQuarantine.Entry> quarantined() {
        return mQuarantine.entries();
    }

    /** Lets a part or call reach servers again, at all hosts; returns whether it was known. */
    public boolean release(String subject) {
        boolean known = mQuarantine.release(subject);
        if (known) {
            mLinks.broadcast(
                    Envelope.newBuilder()
                            .setPromptFaults(
                                    PromptFaults.newBuilder()
                                            .addQuarantinedParts(
                                                    SharedQuarantine.releaseMessage(subject))));
            mRecord.remove(subject);
        }
        return known;
    }

    /** Records that a server answered a call, or began to answer one with a part. */
    public void recordAnswer(List<String> subjects) {
        for (String subject : tracked(subjects)) {
            ownAnswers(subject).put(subject, now());
            if (mSuspects.contains(subject)) {
                scheduleAnnouncement();
            }
        }
    }

    /** Keeps answers to calls apart, because there are many more of them. */
    private Map<String, Long> ownAnswers(String subject) {
        return CallSubject.isCall(subject) ? mCallAnswers : mPartAnswers;
    }

    /** Returns whether a server has crashed under the call since it was last answered. */
    public boolean hasCrashes(String call) {
        return mDetector.hasCrashes(call, Optional.ofNullable(mCallAnswers.get(call)), now());
    }

    /** Records that the process of a server has ended, not only its connections. */
    public void recordServerEnded(String server) {
        mDetector.recordServerEnded(server);
    }

    /** Records a call whose server ended the connection before the answer was complete. */
    public void recordUnanswered(String request, UnansweredCall call) {
        List<String> subjects = tracked(call.subjects());
        if (subjects.isEmpty()) {
            return;
        }
        mLog.log(
                QuarantineEvent.CALL_UNANSWERED,
                field("request", request),
                field("server", call.server()),
                field("sent_after_crash", call.sentAfterCrash()),
                field("subjects", String.join(",", subjects)));
        if (mUnreported.size() >= MAX_CALLS_PER_REPORT) {
            mLog.log(QuarantineEvent.EVIDENCE_DROPPED, field("request", request));
        } else {
            if (mUnreported.isEmpty()) {
                schedule(this::report, REPORT_DELAY);
            }
            mUnreported.add(
                    org.vanillaslip.messages.UnansweredCall.newBuilder()
                            .setServer(call.server())
                            .setCallId(call.callId())
                            .addAllPromptParts(subjects)
                            .build());
        }
        addEvidence(call.server(), call.callId(), subjects, call.sentAfterCrash());
        considerEvidence();
    }

    /** Callers choose the ids of parts, so their number and length are bounded. */
    private static List<String> tracked(List<String> subjects) {
        return subjects.stream()
                .filter(subject -> subject.length() <= MAX_PART_LENGTH)
                .limit(MAX_SUBJECTS_PER_CALL)
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
        for (var call : faults.getUnansweredCallsList()) {
            addEvidence(call.getServer(), call.getCallId(), call.getPromptPartsList(), false);
        }
        for (QuarantinedPart part : faults.getQuarantinedPartsList()) {
            adopt(part);
        }
        considerEvidence();
        return Mono.empty();
    }

    private void addEvidence(
            String server, String callId, List<String> subjects, boolean sentAfterCrash) {
        if (mQuarantine.containsAny(subjects)) {
            mDetector.explainCrash(server);
            return;
        }
        String failureDomain = mFailureDomains.apply(server).orElse("");
        mDetector.recordUnanswered(
                new UnansweredCall(server, failureDomain, callId, subjects, sentAfterCrash), now());
        scheduleServerCheck();
    }

    private void scheduleServerCheck() {
        if (!mServerCheckScheduled) {
            mServerCheckScheduled = true;
            schedule(this::checkServers, SERVER_CHECK_INTERVAL);
        }
    }

    /** A process that has ended leaves the list of servers, or another one takes its place. */
    private void checkServers() {
        mServerCheckScheduled = false;
        List<String> unconfirmed = mDetector.unconfirmedServers(now());
        unconfirmed.stream()
                .filter(server -> mFailureDomains.apply(server).isEmpty())
                .forEach(mDetector::recordServerEnded);
        if (!unconfirmed.isEmpty()) {
            considerEvidence();
            scheduleServerCheck();
        }
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
            Long answered = ownAnswers(part).get(part);
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
            mDetector.explainCrashes(entry.part());
            if (mQuarantine.addFound(entry)) {
                entries.add(entry);
            }
            found = mDetector.findCrashingPart(confirmedUntil);
        }
        if (!entries.isEmpty()) {
            PromptFaults.Builder faults = PromptFaults.newBuilder();
            entries.forEach(entry -> faults.addQuarantinedParts(SharedQuarantine.toMessage(entry)));
            mLinks.broadcast(Envelope.newBuilder().setPromptFaults(faults));
            mRecord.save(entries);
        }
        considerEvidence();
    }

    private void adopt(QuarantinedPart part) {
        if (part.getRemainingMillis() == 0) {
            mQuarantine.release(part.getPart());
            return;
        }
        adopt(
                new PromptQuarantine.Entry(
                        part.getPart(), Duration.ofMillis(part.getRemainingMillis())));
    }

    private void adopt(PromptQuarantine.Entry entry) {
        mQuarantine.adopt(entry);
        if (mQuarantine.containsAny(List.of(entry.part()))) {
            mDetector.explainCrashes(entry.part());
        }
    }

    private void schedule(Runnable task, Duration delay) {
        mLoop.scheduler().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
