import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain HTTP/1.1 server and client on loopback: one thread a connection, no pipelining. */
final class Http {
    record Request(String method, String path, String body) {
    }

    record Reply(int status, String body) {
    }

    /** Answers a request; null closes the connection without an answer. */
    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    private Http() {
    }

    static void daemon(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
        return socket;
    }

    /** Serves on a free port, and returns the port. */
    static int serve(String name, Handler handler) throws IOException {
        ServerSocket server = listen(0);
        daemon(name, () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name, () -> serveConnection(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server.getLocalPort();
    }

    private static void serveConnection(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) return;
                String[] words = line.split(" ");
                Headers headers = readHeaders(in);
                String body = new String(in.readNBytes(headers.length), StandardCharsets.UTF_8);
                Reply reply = handler.handle(new Request(words[0], words[1], body));
                if (reply == null) return;
                byte[] bytes = reply.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + reply.status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\n" + (headers.close ? "Connection: close\r\n" : "") + "\r\n";
                out.write(concat(head.getBytes(StandardCharsets.US_ASCII), bytes));
                out.flush();
                if (headers.close) return;
            }
        } catch (Exception e) {
            // The connection is lost; the other side sees it closed.
        }
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = java.util.Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    private record Headers(int length, boolean close) {
    }

    private static Headers readHeaders(InputStream in) throws IOException {
        int length = 0;
        boolean close = false;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("end within headers");
            if (line.isEmpty()) return new Headers(length, close);
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
            if (lower.startsWith("connection:") && lower.contains("close")) close = true;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) return line.length() == 0 ? null : line.toString();
            if (c == '\n') return line.toString();
            if (c != '\r') line.append((char) c);
        }
    }

    /** A connection to one port that is kept open between requests. */
    static final class Client {
        private Socket socket;
        private InputStream in;
        private int port;

        /** Sends a request and returns its reply; null where there is none in time. */
        synchronized Reply call(int toPort, String method, String path, String body, int timeoutMs) {
            try {
                if (socket == null || port != toPort) connect(toPort, timeoutMs);
                socket.setSoTimeout(timeoutMs);
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + toPort + "\r\nContent-Length: " + bytes.length
                    + "\r\n\r\n";
                socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.US_ASCII), bytes));
                String status = readLine(in);
                if (status == null) throw new IOException("closed");
                Headers headers = readHeaders(in);
                Reply reply = new Reply(Integer.parseInt(status.split(" ")[1]),
                    new String(in.readNBytes(headers.length), StandardCharsets.UTF_8));
                if (headers.close) close();
                return reply;
            } catch (IOException e) {
                close();
                return null;
            }
        }

        private void connect(int toPort, int timeoutMs) throws IOException {
            close();
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", toPort), timeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
            port = toPort;
        }

        synchronized void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // Closed either way.
            }
            socket = null;
        }
    }
}
