package org.vanillaslip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against two codes with one number and against names that do not survive parsing. */
class ResultCodeTest {

    @Test
    void everyCodeHasItsOwnNumber() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number))
                .doesNotHaveDuplicates();
    }

    @Property
    void modelNamesSurviveParsing(@ForAll String adapter) {
        ModelName name = ModelName.parse("base:" + adapter);
        assertThat(name.toString()).isEqualTo("base:" + adapter);
    }
}
