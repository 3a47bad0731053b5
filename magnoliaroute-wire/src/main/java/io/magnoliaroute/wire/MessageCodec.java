package io.magnoliaroute.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import io.magnoliaroute.core.membership.MalformedMessageException;
import io.magnoliaroute.core.membership.MembershipCodec;
import io.magnoliaroute.core.membership.MembershipMessage;
import io.magnoliaroute.core.model.Bytes;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as a type byte followed by a MessagePack map, and decodes them.
 *
 * <p>The decoder skips unknown fields, so that later releases may add fields.
 */
public final class MessageCodec {

  private final ObjectMapper mapper;

  /** Creates a codec, which is thread-safe. */
  public MessageCodec() {
    SimpleModule module = new SimpleModule();
    module.addSerializer(Bytes.class, new BytesSerializer());
    module.addDeserializer(Bytes.class, new BytesDeserializer());
    module.addSerializer(MembershipMessage.class, new MembershipSerializer());
    module.addDeserializer(MembershipMessage.class, new MembershipDeserializer());
    mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(module);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }

  /** Encodes a message; the result has no length prefix. */
  public byte[] encode(PeerMessage message) {
    try {
      byte[] body = mapper.writeValueAsBytes(message);
      byte[] frame = new byte[body.length + 1];
      frame[0] = (byte) MessageType.of(message).number();
      System.arraycopy(body, 0, frame, 1, body.length);
      return frame;
    } catch (IOException e) {
      throw new IllegalStateException("message cannot be encoded: " + message.getClass(), e);
    }
  }

  /**
   * Decodes a frame without its length prefix.
   *
   * @throws WireException if the message type is unknown or the body is malformed
   */
  public PeerMessage decode(byte[] frame) throws WireException {
    if (frame.length < 2 || frame[0] < 0) {
      throw new WireException(WireException.Kind.MALFORMED_BODY, "no message type");
    }
    MessageType type = MessageType.ofNumber(frame[0]);
    try {
      requireSingleCompleteValue(frame);
      return mapper.readValue(frame, 1, frame.length - 1, type.recordClass());
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new WireException(
          WireException.Kind.MALFORMED_BODY, type + " is malformed: " + e.getMessage(), e);
    }
  }

  // The mapper allocates memory for the declared length of a value before it reads the value. This
  // pass rejects values whose declared length exceeds the frame, so that a damaged or hostile frame
  // cannot cause a huge allocation.
  private static void requireSingleCompleteValue(byte[] frame) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame, 1, frame.length - 1)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new IOException("bytes after the message");
      }
    }
  }

  private static final class MembershipSerializer extends StdSerializer<MembershipMessage> {

    private static final long serialVersionUID = 1L;

    MembershipSerializer() {
      super(MembershipMessage.class);
    }

    @Override
    public void serialize(
        MembershipMessage value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeBinary(MembershipCodec.encode(value));
    }
  }

  private static final class MembershipDeserializer extends StdDeserializer<MembershipMessage> {

    private static final long serialVersionUID = 1L;

    MembershipDeserializer() {
      super(MembershipMessage.class);
    }

    @Override
    public MembershipMessage deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      try {
        return MembershipCodec.decode(parser.getBinaryValue());
      } catch (MalformedMessageException e) {
        throw new IOException(e);
      }
    }
  }

  private static final class BytesSerializer extends StdSerializer<Bytes> {

    private static final long serialVersionUID = 1L;

    BytesSerializer() {
      super(Bytes.class);
    }

    @Override
    public void serialize(Bytes value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeBinary(value.toArray());
    }
  }

  private static final class BytesDeserializer extends StdDeserializer<Bytes> {

    private static final long serialVersionUID = 1L;

    BytesDeserializer() {
      super(Bytes.class);
    }

    @Override
    public Bytes deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      return Bytes.copyOf(parser.getBinaryValue());
    }
  }
}
