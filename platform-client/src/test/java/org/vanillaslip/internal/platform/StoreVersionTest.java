package org.vanillaslip.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Guards against versions whose order is not that of the changes. */
class StoreVersionTest {

    private static final long MAX_REVISION = (1L << 46) - 1;

    @Test
    void eachVersionOfALaterEraIsHigher() {
        assertThat(StoreVersion.of(2, 0)).isGreaterThan(StoreVersion.of(1, MAX_REVISION));
        assertThat(StoreVersion.of(2, 7)).isGreaterThan(StoreVersion.of(2, 6));
    }

    @Test
    void aVersionHoldsEraAndRevision() {
        long version = StoreVersion.of(131_071, MAX_REVISION);

        assertThat(StoreVersion.era(version)).isEqualTo(131_071);
        assertThat(StoreVersion.revision(version)).isEqualTo(MAX_REVISION);
    }

    @Test
    void aStoreWithoutErasHasItsRevisionsAsVersions() {
        assertThat(StoreVersion.of(0, 42)).isEqualTo(42);
    }

    @Test
    void partsThatDoNotFitAreRejected() {
        assertThatThrownBy(() -> StoreVersion.of(1, MAX_REVISION + 1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StoreVersion.of(131_072, 1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StoreVersion.of(-1, 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
