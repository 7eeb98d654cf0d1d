import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A network link: passes connections on to a target. While it is cut, bytes are held back; they are delivered in order afterwards. */
final class Link {
    final int port;
    private final int targetPort;
    private boolean cut;

    Link(String name, int targetPort) throws IOException {
        this.targetPort = targetPort;
        ServerSocket server = Http.listen(0);
        port = server.getLocalPort();
        Http.daemon("link " + name, () -> {
            while (true) {
                try {
                    Socket near = server.accept();
                    Http.daemon("link " + name, () -> connect(near));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    synchronized void setCut(boolean cut) {
        this.cut = cut;
        notifyAll();
    }

    private synchronized void awaitPassage() throws InterruptedException {
        while (cut) wait();
    }

    private void connect(Socket near) {
        try {
            awaitPassage();
            Socket far = new Socket();
            far.setTcpNoDelay(true);
            near.setTcpNoDelay(true);
            far.connect(new InetSocketAddress("127.0.0.1", targetPort), 2000);
            Http.daemon("pump", () -> pump(near, far));
            pump(far, near);
        } catch (Exception e) {
            close(near);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                awaitPassage();
                if (count < 0) break;
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (Exception e) {
            // One side is gone; so is the other.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed either way.
        }
    }
}
