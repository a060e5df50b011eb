package org.vanillaslip.internal.platform;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Splits the chunks of a stream into lines. A last line without a line feed is not returned. */
public final class LineSplitter {

    private final int mMaxLineBytes;
    private final ByteArrayOutputStream mPartialLine = new ByteArrayOutputStream();

    /** Creates a splitter that rejects lines longer than the given number of bytes. */
    public LineSplitter(int maxLineBytes) {
        mMaxLineBytes = maxLineBytes;
    }

    /** Returns the lines that the chunk completes, without empty lines. */
    public List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            if (chunk[index] == '\n') {
                mPartialLine.write(chunk, start, index - start);
                if (mPartialLine.size() > 0) {
                    lines.add(mPartialLine.toByteArray());
                }
                mPartialLine.reset();
                start = index + 1;
            }
        }
        mPartialLine.write(chunk, start, chunk.length - start);
        if (mPartialLine.size() > mMaxLineBytes) {
            throw new IllegalArgumentException(
                    "A line is longer than " + mMaxLineBytes + " bytes.");
        }
        return lines;
    }
}
