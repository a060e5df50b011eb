package org.vanillaslip.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.netty.NettyPipeline;

/** Guards against part of a response that is taken for all of it when its connection fails. */
class ResponseEndCheckTest {

    private static final String STATUS = "HTTP/1.1 200 OK\r\n";

    private final List<Throwable> mErrors = new ArrayList<>();
    private boolean mEnded;
    private final EmbeddedChannel mChannel = new EmbeddedChannel();

    private enum Framing {
        LENGTH("Content-Length: 4\r\n\r\n", "abcd"),
        CHUNKED("Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n0\r\n\r\n"),
        CONNECTION("\r\n", "abcd"),
        OTHER_CODING("Transfer-Encoding: identity\r\n\r\n", "abcd");

        final String mHeaders;
        final String mBody;

        Framing(String headers, String body) {
            mHeaders = headers;
            mBody = body;
        }
    }

    private enum RequestState {
        WRITTEN,
        /** Part of the request waits for the server to read. */
        PENDING,
        /** The write failed, since the server reset the connection. */
        FAILED
    }

    /** When the connection ends: within the body, or after all of it. */
    private enum EndAt {
        WITHIN,
        AFTER
    }

    private enum EndSeen {
        ORDERLY,
        READ_ERROR
    }

    /** Each cell: what the response looks like to the caller's code. */
    @ParameterizedTest
    @CsvSource({
        "LENGTH, WRITTEN, AFTER, ORDERLY, WHOLE",
        "LENGTH, PENDING, AFTER, ORDERLY, WHOLE",
        "LENGTH, FAILED, AFTER, ORDERLY, WHOLE",
        "LENGTH, WRITTEN, AFTER, READ_ERROR, WHOLE",
        "LENGTH, WRITTEN, WITHIN, ORDERLY, INCOMPLETE",
        "LENGTH, PENDING, WITHIN, ORDERLY, INCOMPLETE",
        "LENGTH, FAILED, WITHIN, ORDERLY, INCOMPLETE",
        "LENGTH, WRITTEN, WITHIN, READ_ERROR, INCOMPLETE",
        "CHUNKED, WRITTEN, AFTER, ORDERLY, WHOLE",
        "CHUNKED, PENDING, AFTER, ORDERLY, WHOLE",
        "CHUNKED, FAILED, AFTER, ORDERLY, WHOLE",
        "CHUNKED, WRITTEN, AFTER, READ_ERROR, WHOLE",
        "CHUNKED, WRITTEN, WITHIN, ORDERLY, INCOMPLETE",
        "CHUNKED, PENDING, WITHIN, ORDERLY, INCOMPLETE",
        "CHUNKED, FAILED, WITHIN, ORDERLY, INCOMPLETE",
        "CHUNKED, WRITTEN, WITHIN, READ_ERROR, INCOMPLETE",
        "CONNECTION, WRITTEN, AFTER, ORDERLY, WHOLE",
        "CONNECTION, PENDING, AFTER, ORDERLY, INCOMPLETE",
        "CONNECTION, FAILED, AFTER, ORDERLY, INCOMPLETE",
        "CONNECTION, WRITTEN, AFTER, READ_ERROR, INCOMPLETE",
        "CONNECTION, FAILED, WITHIN, ORDERLY, INCOMPLETE",
        "CONNECTION, WRITTEN, WITHIN, READ_ERROR, INCOMPLETE",
        "OTHER_CODING, WRITTEN, AFTER, ORDERLY, WHOLE",
        "OTHER_CODING, FAILED, AFTER, ORDERLY, INCOMPLETE",
        "OTHER_CODING, WRITTEN, AFTER, READ_ERROR, INCOMPLETE"
    })
    void showsTheEndOfAResponse(
            Framing framing, RequestState request, EndAt endAt, EndSeen endSeen, String expected) {
        start();
        sendRequest(HttpMethod.POST, request);
        String body =
                endAt == EndAt.AFTER
                        ? framing.mBody
                        : framing.mBody.substring(0, framing.mBody.length() - 1);
        receive(STATUS + framing.mHeaders + body);
        if (endSeen == EndSeen.READ_ERROR) {
            mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        }
        mChannel.close();

        assertThat(mEnded).isEqualTo(expected.equals("WHOLE"));
        boolean endsWithConnection =
                framing == Framing.CONNECTION || framing == Framing.OTHER_CODING;
        if (!mEnded && endsWithConnection) {
            assertThat(mErrors).isNotEmpty();
        }
    }

    @Test
    void aResponseToAHeadRequestNeedsNoEndOfTheConnection() {
        start();
        sendRequest(HttpMethod.HEAD, RequestState.PENDING);
        receive(STATUS + "\r\n");

        assertThat(mEnded).isTrue();
        assertThat(mErrors).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"204 No Content", "304 Not Modified"})
    void aResponseWithoutABodyNeedsNoEndOfTheConnection(String status) {
        start();
        sendRequest(HttpMethod.POST, RequestState.PENDING);
        receive("HTTP/1.1 " + status + "\r\n\r\n");

        assertThat(mEnded).isTrue();
        assertThat(mErrors).isEmpty();
    }

    private void start() {
        mChannel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpClientCodec());
        ResponseEndCheck.add(mChannel);
        mChannel.pipeline().addLast(new Recorder());
    }

    private void sendRequest(HttpMethod method, RequestState state) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, "/", Unpooled.wrappedBuffer(new byte[100]));
        mChannel.write(request);
        if (state == RequestState.WRITTEN) {
            mChannel.flush();
        } else if (state == RequestState.FAILED) {
            failWrites();
        }
    }

    /** Fails what has not been written, as a write does that meets a reset. */
    private void failWrites() {
        ChannelOutboundBuffer unwritten = mChannel.unsafe().outboundBuffer();
        unwritten.addFlush();
        boolean removed = true;
        while (removed) {
            removed = unwritten.remove(new IOException("Broken pipe"));
        }
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Records the end of the response, and errors before it. */
    private final class Recorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpContent content && content.decoderResult().isFailure()) {
                mErrors.add(content.decoderResult().cause());
            } else if (message instanceof LastHttpContent) {
                mEnded = true;
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mErrors.add(cause);
        }
    }
}
