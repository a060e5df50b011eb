package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;

/** Guards against one unreadable message that costs the link, and with it all messages after it. */
class EnvelopeCodecTest {

    private static final byte[] NO_MESSAGE = {(byte) 0xff, (byte) 0xff, 1, 2, 3};

    private final List<String> mFaults = new ArrayList<>();
    private final EmbeddedChannel mChannel = new EmbeddedChannel(new EnvelopeCodec(mFaults::add));

    @Test
    void dropsAnUnreadableMessageAndReadsTheNextOne() {
        Envelope next =
                Envelope.newBuilder()
                        .setSender("h2")
                        .setHeartbeat(Heartbeat.getDefaultInstance())
                        .build();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeByte(NO_MESSAGE.length).writeBytes(NO_MESSAGE);
        bytes.writeByte(next.getSerializedSize()).writeBytes(next.toByteArray());

        mChannel.writeInbound(bytes);

        assertThat(mChannel.<Envelope>readInbound()).isEqualTo(next);
        assertThat(mFaults).hasSize(1);
    }

    /** Without a length nothing tells where the next message begins. */
    @Test
    void failsOnALengthThatCannotBeRead() {
        ByteBuf bytes = Unpooled.buffer().writeBytes(new byte[] {-1, -1, -1, -1, -1});

        assertThatThrownBy(() -> mChannel.writeInbound(bytes)).isInstanceOf(DecoderException.class);
    }
}
