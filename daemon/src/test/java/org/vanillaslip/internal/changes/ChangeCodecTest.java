package org.vanillaslip.internal.changes;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.messages.ConfigurationObject;
import org.vanillaslip.messages.ObjectChange;

/** Guards against a change in a relay's message that costs the changes beside it. */
class ChangeCodecTest {

    private final ChangeCodec mCodec = new ChangeCodec();

    @Property(seed = "20261207", tries = 200)
    void aChangeThatCannotBeDecodedKeepsItsNameAndVersion(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        byte[] content = new byte[random.nextInt(5000)];
        random.nextBytes(content);
        ObjectChange change =
                ObjectChange.newBuilder()
                        .setCompressed(random.nextBoolean())
                        .setObject(
                                ConfigurationObject.newBuilder()
                                        .setName("bad")
                                        .setVersion(7)
                                        .setSpecJson(ByteString.copyFrom(content)))
                        .build();

        StoredObject decoded = mCodec.decode("servers", change).object();

        assertThat(decoded.name()).isEqualTo("bad");
        assertThat(decoded.version()).isEqualTo(7);
        assertThat(decoded.spec().isEmpty()).isTrue();
        assertThat(decoded.fault()).isPresent();
    }

    @Test
    void aLongChangeIsDecodedAsItWasEncoded() throws Exception {
        ObjectNode spec = JsonNodeFactory.instance.objectNode().put("text", "long ".repeat(9000));
        WatchEvent event =
                new WatchEvent(
                        WatchEventType.MODIFIED, new StoredObject("servers", "i-1", 9, spec));

        assertThat(mCodec.decode("servers", mCodec.encode(event))).isEqualTo(event);
    }
}
