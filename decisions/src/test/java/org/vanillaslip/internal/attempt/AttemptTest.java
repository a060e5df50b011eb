package org.vanillaslip.internal.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.DisplayName;
import org.vanillaslip.ResultCode;

/** Guards against RUN without a stored record of the own nonce, whatever the platform does. */
@DisplayName("at-most-once")
class AttemptTest {

    /** What the platform does with one call; LATE takes effect after a lost answer. */
    enum Behaviour {
        NORMAL,
        DOWN,
        LOST_BEFORE,
        LOST_AFTER,
        LATE
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
        AttemptStep firstEnd =
                drive(platform, new Attempt(one, n -> false, n -> false), one, first);
        boolean firstRan = firstEnd.action() == AttemptAction.RUN;
        AttemptStep secondEnd =
                drive(
                        platform,
                        new Attempt(two, n -> false, n -> firstAbandoned && !firstRan),
                        two,
                        second);
        boolean secondRan = secondEnd.action() == AttemptAction.RUN;
        assertThat(firstRan && secondRan).isFalse();
        if (firstRan) {
            assertThat(secondEnd.refusal().orElseThrow().code())
                    .isIn(
                            ResultCode.OUTCOME_UNKNOWN,
                            ResultCode.IDEMPOTENCY_KEY_REUSED,
                            ResultCode.PLATFORM_UNAVAILABLE);
        }
        if (secondRan) {
            assertThat(platform.mStored).isEqualTo(two);
        }
    }

    private static AttemptStep drive(
            Platform platform, Attempt attempt, AttemptRecord own, List<Behaviour> behaviours) {
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
            step = platform.call(attempt, action, own, behaviour);
        }
    }

    private static final class Platform {
        private AttemptRecord mStored;
        private AttemptRecord mLate;

        AttemptStep call(
                Attempt attempt, AttemptAction action, AttemptRecord own, Behaviour behaviour) {
            AttemptRecord late = mLate;
            mLate = null;
            AttemptStep step = answer(attempt, action, own, behaviour);
            if (late != null && mStored == null) {
                mStored = late;
            }
            return step;
        }

        private AttemptStep answer(
                Attempt attempt, AttemptAction action, AttemptRecord own, Behaviour behaviour) {
            if (behaviour == Behaviour.DOWN) {
                return attempt.onFailure(action, AttemptFailure.UNREACHABLE);
            }
            if (behaviour == Behaviour.LATE && action == AttemptAction.CREATE) {
                mLate = own;
            }
            if (behaviour == Behaviour.LOST_BEFORE || behaviour == Behaviour.LATE) {
                return attempt.onFailure(action, AttemptFailure.ANSWER_LOST);
            }
            if (action == AttemptAction.READ) {
                return mStored == null
                        ? attempt.onFailure(action, AttemptFailure.MISSING)
                        : behaviour == Behaviour.LOST_AFTER
                                ? attempt.onFailure(action, AttemptFailure.ANSWER_LOST)
                                : attempt.onRead(mStored);
            }
            if (action == AttemptAction.CREATE && mStored != null) {
                return attempt.onFailure(action, AttemptFailure.CONFLICT);
            }
            mStored = own;
            return behaviour == Behaviour.LOST_AFTER
                    ? attempt.onFailure(action, AttemptFailure.ANSWER_LOST)
                    : attempt.onStored();
        }
    }
}
