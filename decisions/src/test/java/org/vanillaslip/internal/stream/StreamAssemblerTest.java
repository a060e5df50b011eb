package org.vanillaslip.internal.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.DisplayName;

/** Guards against gaps, duplicates and answers that look whole but are not. */
@DisplayName("whole-answers")
class StreamAssemblerTest {

    @Property(seed = "22")
    void passesEachOffsetOnceAndInOrderWhateverArrives(
            @ForAll List<@IntRange(min = -1, max = 12) Integer> offsets,
            @ForAll @IntRange(min = 0, max = 12) int total) {
        StreamAssembler assembly = new StreamAssembler("mine");
        int passed = 0;
        for (int offset : offsets) {
            assertThat(assembly.token("other", passed)).isEqualTo(AssemblyResult.MISMATCH);
            if (assembly.token("mine", offset) == AssemblyResult.PASS) {
                assertThat(offset).isEqualTo(passed++);
            }
        }
        assertThat(assembly.finish("other", passed)).isEqualTo(AssemblyResult.MISMATCH);
        assertThat(assembly.finish("mine", total) == AssemblyResult.COMPLETE)
                .isEqualTo(total == passed);
        assertThat(assembly.complete()).isEqualTo(total == passed);
    }
}
