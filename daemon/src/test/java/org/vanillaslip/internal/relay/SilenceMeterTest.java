package org.vanillaslip.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a busy host that takes its own standstill for silence of a server. */
class SilenceMeterTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final SilenceMeter mMeter = new SilenceMeter(TIMEOUT, 0);
    private long mNowNanos;

    @Test
    void aServerIsSilentAfterTheTimeout() {
        assertThat(checkAfter(mMeter.interval())).isFalse();
        assertThat(checkAfter(mMeter.interval())).isFalse();
        assertThat(checkAfter(mMeter.interval())).isFalse();
        assertThat(checkAfter(mMeter.interval())).isTrue();
        assertThat(mMeter.silence()).isEqualTo(TIMEOUT);
    }

    /** Guards against a timer that expired in a standstill and runs before the sockets are read. */
    @Test
    void aStandstillCountsAsOneInterval() {
        assertThat(checkAfter(Duration.ofMinutes(1))).isFalse();
        assertThat(mMeter.silence()).isEqualTo(mMeter.interval());
    }

    /** Guards against a late check that completes a silence before the sockets are read. */
    @Test
    void aLateCheckFindsNoSilence() {
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        assertThat(checkAfter(Duration.ofSeconds(2))).isFalse();

        assertThat(checkAfter(mMeter.interval())).isTrue();
    }

    /** Guards against checks that follow a late one at once, before the sockets are read. */
    @Test
    void checksThatMakeUpForLateOnesFindNoSilence() {
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        checkAfter(Duration.ofSeconds(2));
        assertThat(checkAfter(Duration.ZERO)).isFalse();
        assertThat(checkAfter(Duration.ofMillis(1))).isFalse();
    }

    @Test
    void anEventEndsTheSilence() {
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        checkAfter(mMeter.interval());
        mMeter.restart(mNowNanos);

        assertThat(checkAfter(mMeter.interval())).isFalse();
    }

    private boolean checkAfter(Duration time) {
        mNowNanos += time.toNanos();
        return mMeter.check(mNowNanos);
    }
}
