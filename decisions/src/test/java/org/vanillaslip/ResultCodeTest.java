package org.vanillaslip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against result codes that share a number and model names that parsing changes. */
class ResultCodeTest {

    @Test
    void everyCodeHasAUniqueNumber() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number))
                .doesNotHaveDuplicates();
    }

    @Property
    void parsedModelNameIsWrittenBackUnchanged(@ForAll String adapter) {
        ModelName name = ModelName.parse("base:" + adapter);
        assertThat(name.toString()).isEqualTo("base:" + adapter);
    }
}
