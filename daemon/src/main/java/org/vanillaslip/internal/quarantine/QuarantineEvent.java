package org.vanillaslip.internal.quarantine;

import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import org.vanillaslip.internal.logging.LogEvent;

/** Log events of prompt parts and calls under which servers crash, with numbers 580 to 589. */
public enum QuarantineEvent implements LogEvent {
    CALL_UNANSWERED(580, INFO, "A server ended a connection before an answer was complete."),
    PART_FOUND(581, WARNING, "Servers crashed under a part of prompts; it is kept from them."),
    PART_ADOPTED(582, WARNING, "Another host keeps a part of prompts from the servers."),
    EVIDENCE_DROPPED(583, WARNING, "Too many unanswered calls at once; the rest is not reported."),
    RECORD_FAILED(584, WARNING, "The record of what is kept from the servers cannot be used."),
    CALL_FOUND(585, WARNING, "Servers crashed under a repeated call; it is kept from them."),
    CALL_ADOPTED(586, WARNING, "Another host keeps a repeated call from the servers."),
    RELEASED(587, WARNING, "An operator lets a part or call reach the servers again.");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    QuarantineEvent(int number, System.Logger.Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    /** Returns the event for a part or call that this host has found. */
    static QuarantineEvent found(String subject) {
        return CallSubject.isCall(subject) ? CALL_FOUND : PART_FOUND;
    }

    /** Returns the event for a part or call that another host or the store has named. */
    static QuarantineEvent adopted(String subject) {
        return CallSubject.isCall(subject) ? CALL_ADOPTED : PART_ADOPTED;
    }

    @Override
    public int number() {
        return mNumber;
    }

    @Override
    public System.Logger.Level level() {
        return mLevel;
    }

    @Override
    public String text() {
        return mText;
    }
}
