package org.vanillaslip.internal.platform;

import java.util.concurrent.atomic.AtomicLong;
import reactor.netty.http.client.HttpClientResponse;

/** The newest era that the answers of a store have named; 0 for a store that names none. */
final class StoreEra {

    private final String mHeader;
    private final AtomicLong mNewest = new AtomicLong();

    /**
     * Creates the era of a store.
     *
     * @param header header of the answers with the number of the era
     */
    StoreEra(String header) {
        mHeader = header;
    }

    /** Returns the era of the answer and remembers it. */
    long record(HttpClientResponse response) {
        String value = response.responseHeaders().get(mHeader);
        long era = value == null ? 0 : parse(value);
        mNewest.accumulateAndGet(era, Math::max);
        return era;
    }

    /** Returns whether the version is one of an era before the newest. */
    boolean hasEnded(long version) {
        return version > 0 && StoreVersion.era(version) < mNewest.get();
    }

    /** Returns whether the era is before the newest, so that its answer arrives late. */
    boolean isPast(long era) {
        return era < mNewest.get();
    }

    private long parse(String value) {
        try {
            return StoreVersion.era(StoreVersion.of(Long.parseLong(value.strip()), 0));
        } catch (IllegalArgumentException fault) {
            throw new PlatformException(
                    PlatformFailure.UNAVAILABLE,
                    "The header " + mHeader + " is no era: '" + value + "'.");
        }
    }
}
