import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads and writes the JSON bodies of the stand-ins. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode read(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (java.io.IOException malformed) {
            return null;
        }
    }

    static JsonNode read(String text) {
        return read(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (java.io.IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
