package org.vanillaslip.internal.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Values that callers have sent, so that tests can search them for values that must not reach the
 * engine.
 */
final class ReceivedValues {

    // Limits memory use in long measurements; tests send far fewer values.
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
