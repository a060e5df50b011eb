package org.vanillaslip.internal.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Everything that callers sent, so that tests can look for values that must not arrive. */
final class ReceivedValues {

    // Bounds the memory of long measurements; tests send far fewer values.
    private static final int MAX_VALUES = 100_000;

    private final Deque<String> mValues = new ArrayDeque<>();

    synchronized void add(String value) {
        if (mValues.size() == MAX_VALUES) {
            mValues.removeFirst();
        }
        mValues.addLast(value);
    }

    synchronized List<String> values() {
        return List.copyOf(mValues);
    }
}
