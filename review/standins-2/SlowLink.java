import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The link of one machine: all bytes that it receives share a bandwidth. */
final class SlowLink {

    private static final int PIECE_BYTES = 2048;

    private final int mTargetPort;
    private final double mNanosPerByte;
    private final ServerSocket mSocket;
    private long mFreeAtNanos = System.nanoTime();

    SlowLink(String target, double megabitsPerSecond) throws IOException {
        mTargetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        mNanosPerByte = 8e3 / megabitsPerSecond;
        mSocket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("link", this::accept);
    }

    String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = mSocket.accept();
            Socket far = new Socket();
            far.setReceiveBufferSize(16 * PIECE_BYTES);
            far.connect(new InetSocketAddress("127.0.0.1", mTargetPort), 1000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Threads.start("link up", () -> forward(near, far, false));
            Threads.start("link down", () -> forward(far, near, true));
        }
    }

    private void forward(Socket from, Socket to, boolean limited) throws Exception {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] piece = new byte[PIECE_BYTES];
            for (int size = in.read(piece); size >= 0; size = in.read(piece)) {
                if (limited) {
                    awaitTurn(size);
                }
                out.write(piece, 0, size);
                out.flush();
            }
        }
    }

    private void awaitTurn(int bytes) throws InterruptedException {
        long arrivesAt;
        synchronized (this) {
            mFreeAtNanos =
                    Math.max(mFreeAtNanos, System.nanoTime()) + (long) (bytes * mNanosPerByte);
            arrivesAt = mFreeAtNanos;
        }
        long nanos = arrivesAt - System.nanoTime();
        if (nanos > 0) {
            Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
        }
    }
}
