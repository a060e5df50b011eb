package org.vanillaslip.internal.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.DisplayName;
import org.vanillaslip.ResultCode;

/** Guards against RUN without a stored record of this attempt, whatever the platform does. */
@DisplayName("at-most-once")
class AttemptTest {

    /**
     * Behaviour of the platform in one call; with APPLIED_LATE the response is lost and the record
     * is stored after the next call.
     */
    enum Behaviour {
        NORMAL,
        UNREACHABLE,
        REQUEST_LOST,
        RESPONSE_LOST,
        APPLIED_LATE
    }

    @Property(seed = "23")
    void twoAttemptsNeverBothRun(
            @ForAll List<Behaviour> first,
            @ForAll List<Behaviour> second,
            @ForAll boolean sameRequest,
            @ForAll boolean firstAbandoned) {
        Platform platform = new Platform();
        AttemptRecord one = new AttemptRecord("one", "print", Optional.empty());
        AttemptRecord two =
                new AttemptRecord("two", sameRequest ? "print" : "other", Optional.empty());
        AttemptStep firstDecision =
                runUntilDecided(
                        platform, new Attempt(one, nonce -> false, nonce -> false), one, first);
        boolean firstRan = firstDecision.action() == AttemptAction.RUN;
        AttemptStep secondDecision =
                runUntilDecided(
                        platform,
                        new Attempt(two, nonce -> false, nonce -> firstAbandoned && !firstRan),
                        two,
                        second);
        boolean secondRan = secondDecision.action() == AttemptAction.RUN;
        assertThat(firstRan && secondRan).isFalse();
        if (firstRan) {
            assertThat(secondDecision.refusal().orElseThrow().code())
                    .isIn(
                            ResultCode.OUTCOME_UNKNOWN,
                            ResultCode.IDEMPOTENCY_KEY_REUSED,
                            ResultCode.PLATFORM_UNAVAILABLE);
        }
        if (secondRan) {
            assertThat(platform.mStoredRecord).isEqualTo(two);
        }
    }

    private static AttemptStep runUntilDecided(
            Platform platform,
            Attempt attempt,
            AttemptRecord ownRecord,
            List<Behaviour> behaviours) {
        AttemptStep step = attempt.start();
        for (int call = 0; ; call++) {
            Behaviour behaviour =
                    call < behaviours.size() ? behaviours.get(call) : Behaviour.NORMAL;
            AttemptAction action = step.action();
            if (action != AttemptAction.CREATE
                    && action != AttemptAction.READ
                    && action != AttemptAction.TAKE_OVER) {
                return step;
            }
            step = platform.call(attempt, action, ownRecord, behaviour);
        }
    }

    private static final class Platform {
        private AttemptRecord mStoredRecord;
        private AttemptRecord mDelayedRecord;

        AttemptStep call(
                Attempt attempt,
                AttemptAction action,
                AttemptRecord ownRecord,
                Behaviour behaviour) {
            AttemptRecord delayedRecord = mDelayedRecord;
            mDelayedRecord = null;
            AttemptStep step = execute(attempt, action, ownRecord, behaviour);
            if (delayedRecord != null && mStoredRecord == null) {
                mStoredRecord = delayedRecord;
            }
            return step;
        }

        private AttemptStep execute(
                Attempt attempt,
                AttemptAction action,
                AttemptRecord ownRecord,
                Behaviour behaviour) {
            if (behaviour == Behaviour.UNREACHABLE) {
                return attempt.onFailure(action, AttemptFailure.UNREACHABLE);
            }
            if (behaviour == Behaviour.APPLIED_LATE && action == AttemptAction.CREATE) {
                mDelayedRecord = ownRecord;
            }
            if (behaviour == Behaviour.REQUEST_LOST || behaviour == Behaviour.APPLIED_LATE) {
                return attempt.onFailure(action, AttemptFailure.ANSWER_LOST);
            }
            if (action == AttemptAction.READ) {
                return mStoredRecord == null
                        ? attempt.onFailure(action, AttemptFailure.MISSING)
                        : behaviour == Behaviour.RESPONSE_LOST
                                ? attempt.onFailure(action, AttemptFailure.ANSWER_LOST)
                                : attempt.onRead(mStoredRecord);
            }
            if (action == AttemptAction.CREATE && mStoredRecord != null) {
                return attempt.onFailure(action, AttemptFailure.CONFLICT);
            }
            mStoredRecord = ownRecord;
            return behaviour == Behaviour.RESPONSE_LOST
                    ? attempt.onFailure(action, AttemptFailure.ANSWER_LOST)
                    : attempt.onStored();
        }
    }
}
