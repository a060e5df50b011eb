package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.messages.Envelope;

/** Guards against a link that is closed as silent while a long message arrives on it. */
class ReadRecorderTest {

    private long mNow;

    @Test
    void aLinkOnWhichPartOfAMessageArrivesIsNotSilent() {
        EmbeddedChannel channel = new EmbeddedChannel();
        PeerLink link = new PeerLink(channel, Optional.empty(), mNow);
        channel.pipeline()
                .addLast(new ReadRecorder(link, () -> mNow))
                .addLast(new EnvelopeCodec(fault -> {}));
        mNow = Duration.ofSeconds(2).toNanos();
        ByteBuf part = Unpooled.buffer().writeByte(100).writeBytes(new byte[50]);
        channel.writeInbound(part);
        mNow = Duration.ofSeconds(4).toNanos();

        assertThat(channel.<Envelope>readInbound()).isNull();
        assertThat(link.silentNanos(mNow)).isEqualTo(Duration.ofSeconds(2).toNanos());
    }
}
