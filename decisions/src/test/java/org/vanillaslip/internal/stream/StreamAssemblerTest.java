package org.vanillaslip.internal.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.DisplayName;

/** Guards against gaps, duplicates and incomplete answers that appear complete. */
@DisplayName("whole-answers")
class StreamAssemblerTest {

    @Property(seed = "22")
    void passesEachOffsetOnceAndInOrderForAnyInput(
            @ForAll List<@IntRange(min = -1, max = 12) Integer> offsets,
            @ForAll @IntRange(min = 0, max = 12) int total) {
        StreamAssembler assembler = new StreamAssembler("mine");
        int passed = 0;
        for (int offset : offsets) {
            assertThat(assembler.acceptToken("other", passed)).isEqualTo(AssemblyResult.MISMATCH);
            if (assembler.acceptToken("mine", offset) == AssemblyResult.PASS) {
                assertThat(offset).isEqualTo(passed++);
            }
        }
        assertThat(assembler.acceptEnd("other", passed)).isEqualTo(AssemblyResult.MISMATCH);
        assertThat(assembler.acceptEnd("mine", total) == AssemblyResult.COMPLETE)
                .isEqualTo(total == passed);
        assertThat(assembler.isComplete()).isEqualTo(total == passed);
    }
}
