package org.vanillaslip.internal.quarantine;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.QuarantinedPart;

/**
 * The prompt parts and calls that no server may get, as all hosts tell each other. In messages, a
 * part without remaining time is one that an operator has released.
 */
final class SharedQuarantine {

    /** A part or call is kept from the servers for this long after they have crashed under it. */
    static final Duration QUARANTINE_TIME = Duration.ofMinutes(5);

    /** Hosts that missed the first message of a release learn of it from heartbeats. */
    private static final Duration RELEASE_REPEAT_TIME = Duration.ofSeconds(10);

    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private BiConsumer<String, RefusedException> mListener = (subject, refusal) -> {};

    SharedQuarantine(DecisionLoop loop, EventLog log) {
        mLoop = loop;
        mLog = log;
    }

    /** Registers a listener for parts and calls that no server may get from now on. */
    void onQuarantine(BiConsumer<String, RefusedException> listener) {
        mListener = listener;
    }

    /** Throws {@link RefusedException} if no server may get one of the parts or calls. */
    void check(List<String> subjects) {
        mQuarantine
                .find(subjects, now())
                .ifPresent(
                        entry -> {
                            throw refusal(entry);
                        });
    }

    boolean containsAny(List<String> subjects) {
        return mQuarantine.find(subjects, now()).isPresent();
    }

    /** Adds what this host has found; returns whether it was not in quarantine. */
    boolean addFound(PromptQuarantine.Entry entry) {
        return add(entry, QuarantineEvent.found(entry.part()));
    }

    /** Adds what another host or the store has named, unless it has been released since. */
    void adopt(PromptQuarantine.Entry entry) {
        boolean tooLong = entry.remaining().compareTo(QUARANTINE_TIME) > 0;
        Duration remaining = tooLong ? QUARANTINE_TIME : entry.remaining();
        long began = now() + remaining.toNanos() - QUARANTINE_TIME.toNanos();
        if (!mQuarantine.isReleased(entry.part(), began)) {
            add(
                    new PromptQuarantine.Entry(entry.part(), remaining),
                    QuarantineEvent.adopted(entry.part()));
        }
    }

    private boolean add(PromptQuarantine.Entry entry, QuarantineEvent event) {
        boolean added = mQuarantine.add(entry, now());
        if (added) {
            mLog.log(
                    event,
                    field("part", entry.part()),
                    field("remaining_ms", entry.remaining().toMillis()));
            mListener.accept(entry.part(), refusal(entry));
        }
        return added;
    }

    /** Lets the part or call reach servers again; returns whether it was in quarantine. */
    boolean release(String subject) {
        boolean known = mQuarantine.release(subject, now());
        if (known) {
            mLog.log(QuarantineEvent.RELEASED, field("part", subject));
        }
        return known;
    }

    List<PromptQuarantine.Entry> entries() {
        return mQuarantine.entries(now());
    }

    /** Returns what is in quarantine, and what was released lately. */
    List<QuarantinedPart> toMessages() {
        List<QuarantinedPart> messages = new ArrayList<>();
        entries().forEach(entry -> messages.add(toMessage(entry)));
        mQuarantine
                .releasedSince(now() - RELEASE_REPEAT_TIME.toNanos())
                .forEach(subject -> messages.add(releaseMessage(subject)));
        return List.copyOf(messages);
    }

    static QuarantinedPart toMessage(PromptQuarantine.Entry entry) {
        return QuarantinedPart.newBuilder()
                .setPart(entry.part())
                .setRemainingMillis((int) Math.max(1, entry.remaining().toMillis()))
                .build();
    }

    static QuarantinedPart releaseMessage(String subject) {
        return QuarantinedPart.newBuilder().setPart(subject).build();
    }

    private static RefusedException refusal(PromptQuarantine.Entry entry) {
        return new RefusedException(
                CallSubject.isCall(entry.part())
                        ? Refusal.of(ResultCode.CALL_QUARANTINED, entry.part())
                        : Refusal.retryable(
                                ResultCode.PROMPT_QUARANTINED, entry.part(), entry.remaining()));
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
