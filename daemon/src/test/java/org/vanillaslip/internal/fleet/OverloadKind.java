package org.vanillaslip.internal.fleet;

import java.time.Duration;

/** A kind of calls of the overload simulation. */
final class OverloadKind {

    final String mName;
    final int mPriority;
    final long mObjectiveNanos;
    final long mLeaveNanos;
    final double mValue;
    final double mPart;

    OverloadKind(
            String name,
            int priority,
            Duration objective,
            Duration leave,
            double value,
            double part) {
        mName = name;
        mPriority = priority;
        mObjectiveNanos = objective.toNanos();
        mLeaveNanos = leave.toNanos();
        mValue = value;
        mPart = part;
    }
}
