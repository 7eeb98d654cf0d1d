import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a free loopback port; each request is handled on a thread of its own. */
final class Server {
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** A request with its query parameters. */
    record Request(String method, String path, Map<String, String> query, byte[] body) {}

    /** The answer to a request; a null answer closes the connection without one. */
    record Reply(int status, byte[] body) {
        static Reply of(int status) {
            return new Reply(status, new byte[0]);
        }

        static Reply of(int status, com.fasterxml.jackson.databind.JsonNode body) {
            return new Reply(status, Json.write(body));
        }
    }

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    private final HttpServer http;
    final String address;

    Server(Handler handler) throws IOException {
        http = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        http.setExecutor(THREADS);
        http.createContext("/", exchange -> answer(exchange, handler));
        http.start();
        address = "127.0.0.1:" + http.getAddress().getPort();
    }

    void stop() {
        http.stop(0);
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals >= 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            Reply reply = handler.handle(new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body));
            if (reply == null) return;
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
            if (reply.body().length > 0) exchange.getResponseBody().write(reply.body());
        } catch (IOException gone) {
            // The other side has closed the connection.
        } catch (Exception fault) {
            fault.printStackTrace();
        }
    }
}
