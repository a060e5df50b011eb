package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.data.Offset;

/** Properties of the quota arithmetic that hold for all amounts and times. */
class QuotaPropertiesTest {

    @Property(seed = "401")
    void levelAndOutstandingStayWithinTheCapacity(
            @ForAll @Size(max = 60) List<@LongRange(min = 0, max = 9_999) Long> steps) {
        QuotaBucket bucket = new QuotaBucket(0);
        long now = 0;
        bucket.resize(300, 1000, now);
        for (long step : steps) {
            now += step * 1_000_000;
            step(bucket, step % 5, step / 10, now);
            assertThat(bucket.level(now) + bucket.outstanding())
                    .isLessThanOrEqualTo(Math.max(bucket.capacity(), bucket.outstanding()));
            assertThat(bucket.outstanding()).isBetween(0L, 1000L);
        }
    }

    private static void step(QuotaBucket bucket, long kind, long amount, long now) {
        if (kind == 0) {
            bucket.lend(Math.min(amount, bucket.level(now)), now);
        } else if (kind == 1) {
            bucket.writeOff(Math.min(amount, bucket.outstanding()), now);
        } else if (kind == 2) {
            bucket.takeBack(Math.min(amount, bucket.outstanding()), now);
        } else if (kind == 3) {
            long spent = Math.min(amount, bucket.level(now));
            bucket.refund(spent / 2, bucket.spend(spent, now), now);
        } else {
            bucket.resize(300, 500 + amount % 501, now);
        }
    }

    @Property(seed = "402")
    void borrowersValidityWithDriftEndsByTheGrantersExpiry(
            @ForAll @LongRange(min = 1, max = 100_000_000_000L) long remaining) {
        long validity = QuotaTimes.withoutDrift(remaining);
        assertThat(QuotaTimes.withDrift(validity)).isLessThanOrEqualTo(remaining);
        assertThat(QuotaTimes.withDrift(remaining)).isGreaterThan(remaining + remaining / 100);
        assertThat(validity * 1.01).isCloseTo(remaining, Offset.offset(120.0));
    }

    @Property(seed = "403")
    void frequentRefillLosesNoTokens(
            @ForAll @Size(max = 200) List<@IntRange(min = 1, max = 5_000) Integer> steps) {
        QuotaBucket often = new QuotaBucket(0);
        QuotaBucket once = new QuotaBucket(0);
        often.resize(333_333, Long.MAX_VALUE / 4, 0);
        once.resize(333_333, Long.MAX_VALUE / 4, 0);
        long now = 0;
        for (int step : steps) {
            now += step;
            often.level(now);
        }
        assertThat(often.level(now)).isBetween(once.level(now) - 1, once.level(now));
    }

    @Property(seed = "404", tries = 300)
    void sharesInUseNeverExceedTheDomainWhileHostsJoinAndLeave(
            @ForAll @Size(max = 40) List<@LongRange(min = 0, max = 1_000_000) Long> steps) {
        ShareTable table = ShareTable.empty("a", 1000);
        Map<String, Long> used = new HashMap<>();
        Map<String, Long> confirmed = new HashMap<>();
        Set<String> staying = new TreeSet<>(Set.of("host-0"));
        for (long step : steps) {
            String host = "host-" + step % 5;
            if (step / 5 % 3 == 0 && !(staying.size() == 1 && staying.contains(host))) {
                if (!staying.remove(host)) {
                    staying.add(host);
                }
            } else if (step / 5 % 3 == 1) {
                used.put(host, table.partsOf(host));
                confirmed.put(host, table.generation());
            }
            table = ShareTablePlanner.next(table, staying, Set.of(), confirmed);
            long inUse = 0;
            for (int i = 0; i < 5; i++) {
                String name = "host-" + i;
                inUse += Math.max(used.getOrDefault(name, 0L), table.partsOf(name));
            }
            assertThat(inUse).isLessThanOrEqualTo(1000);
        }
    }
}
