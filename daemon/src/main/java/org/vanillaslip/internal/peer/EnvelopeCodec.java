package org.vanillaslip.internal.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.vanillaslip.messages.Envelope;

/** Encodes and decodes messages that are preceded by their length as a varint. */
final class EnvelopeCodec extends ByteToMessageCodec<Envelope> {

    /** A message with changes has at most 2 MB, others have less. */
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int MAX_VARINT_BYTES = 5;

    private final Consumer<String> mUnreadableListener;

    /**
     * Creates a codec.
     *
     * @param unreadableListener receives the fault of each message that is dropped
     */
    EnvelopeCodec(Consumer<String> unreadableListener) {
        mUnreadableListener = unreadableListener;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope message, ByteBuf out)
            throws IOException {
        int size = message.getSerializedSize();
        out.ensureWritable(CodedOutputStream.computeUInt32SizeNoTag(size) + size);
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            message.writeDelimitedTo(stream);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws IOException {
        int start = in.readerIndex();
        int length = readLength(in);
        if (length < 0 || in.readableBytes() < length) {
            in.readerIndex(start);
            return;
        }
        try (ByteBufInputStream stream = new ByteBufInputStream(in.readSlice(length))) {
            out.add(Envelope.parseFrom(stream));
        } catch (InvalidProtocolBufferException malformed) {
            // The length is known, so the next message can be read.
            mUnreadableListener.accept(String.valueOf(malformed.getMessage()));
        }
    }

    /** Returns the length, or -1 if not all of its bytes have arrived. */
    private static int readLength(ByteBuf in) {
        long length = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte next = in.readByte();
            length |= (long) (next & 0x7f) << (7 * i);
            if (next >= 0) {
                return checkFrameLength(length);
            }
        }
        throw new CorruptedFrameException("The frame length is not a 32-bit varint.");
    }

    private static int checkFrameLength(long length) {
        if (length > MAX_FRAME_BYTES) {
            throw new CorruptedFrameException(
                    "A frame of " + length + " bytes exceeds the maximum size.");
        }
        return (int) length;
    }
}
