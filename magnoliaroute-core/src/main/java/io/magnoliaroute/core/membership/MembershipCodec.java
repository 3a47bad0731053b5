package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.membership.MembershipMessage.Ack;
import io.magnoliaroute.core.membership.MembershipMessage.Ping;
import io.magnoliaroute.core.membership.MembershipMessage.PingReq;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes membership messages as MessagePack arrays.
 *
 * <p>A message is {@code [kind, sequence, argument, gossip]}, where the argument is the {@code
 * tableWanted} flag of a ping, the target of a ping request and nil for an ack. Gossip is {@code
 * [sender, configVersion, listVersion, tableDigest, [delta...]]}, and a delta is {@code [vm,
 * dataCentre, region, host, port, incarnation, state]}.
 */
public final class MembershipCodec {

  private static final int KIND_PING = 0;
  private static final int KIND_PING_REQ = 1;
  private static final int KIND_ACK = 2;
  private static final int MESSAGE_FIELDS = 4;
  private static final int GOSSIP_FIELDS = 5;
  private static final int DELTA_FIELDS = 7;

  private MembershipCodec() {}

  /** Encodes the message. */
  public static byte[] encode(MembershipMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(message, packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to an in-memory buffer failed", e);
    }
  }

  /**
   * Decodes exactly one message.
   *
   * @throws MalformedMessageException if the bytes are not a membership message, exceed its limits
   *     or have trailing bytes
   */
  public static MembershipMessage decode(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      MembershipMessage message = read(unpacker);
      if (unpacker.hasNext()) {
        throw new MalformedMessageException("trailing bytes after the membership message");
      }
      return message;
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("not a membership message: " + e.getMessage(), e);
    }
  }

  /** Writes the message to a packer, which may hold other values before and after it. */
  public static void write(MembershipMessage message, MessagePacker packer) throws IOException {
    packer.packArrayHeader(MESSAGE_FIELDS);
    if (message instanceof Ping ping) {
      packer.packInt(KIND_PING).packLong(ping.sequence()).packBoolean(ping.tableWanted());
    } else if (message instanceof PingReq pingReq) {
      packer.packInt(KIND_PING_REQ).packLong(pingReq.sequence());
      packer.packString(pingReq.target().value());
    } else if (message instanceof Ack ack) {
      packer.packInt(KIND_ACK).packLong(ack.sequence()).packNil();
    }
    writeGossip(message.gossip(), packer);
  }

  /**
   * Reads one message from an unpacker, which may hold other values after it.
   *
   * @throws MalformedMessageException if the next value is not a membership message or exceeds its
   *     limits
   */
  public static MembershipMessage read(MessageUnpacker unpacker)
      throws IOException, MalformedMessageException {
    try {
      requireFields("message", MESSAGE_FIELDS, unpacker.unpackArrayHeader());
      int kind = unpacker.unpackInt();
      long sequence = unpacker.unpackLong();
      return switch (kind) {
        case KIND_PING -> new Ping(sequence, unpacker.unpackBoolean(), readGossip(unpacker));
        case KIND_PING_REQ ->
            new PingReq(sequence, new VmId(unpacker.unpackString()), readGossip(unpacker));
        case KIND_ACK -> {
          unpacker.unpackNil();
          yield new Ack(sequence, readGossip(unpacker));
        }
        default -> throw new MalformedMessageException("unknown membership message kind: " + kind);
      };
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new MalformedMessageException("not a membership message: " + e.getMessage(), e);
    }
  }

  private static void writeGossip(Gossip gossip, MessagePacker packer) throws IOException {
    packer.packArrayHeader(GOSSIP_FIELDS);
    writeDelta(gossip.sender(), packer);
    packer.packLong(gossip.configVersion());
    packer.packLong(gossip.listVersion());
    packer.packLong(gossip.tableDigest());
    packer.packArrayHeader(gossip.deltas().size());
    for (MemberDelta delta : gossip.deltas()) {
      writeDelta(delta, packer);
    }
  }

  private static Gossip readGossip(MessageUnpacker unpacker)
      throws IOException, MalformedMessageException {
    requireFields("gossip", GOSSIP_FIELDS, unpacker.unpackArrayHeader());
    MemberDelta sender = readDelta(unpacker);
    long configVersion = unpacker.unpackLong();
    long listVersion = unpacker.unpackLong();
    long tableDigest = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    if (count > Gossip.MAX_DELTAS) {
      throw new MalformedMessageException("too many deltas in gossip: " + count);
    }
    List<MemberDelta> deltas = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      deltas.add(readDelta(unpacker));
    }
    return new Gossip(sender, configVersion, listVersion, tableDigest, deltas);
  }

  private static void writeDelta(MemberDelta delta, MessagePacker packer) throws IOException {
    MemberInfo info = delta.info();
    packer.packArrayHeader(DELTA_FIELDS);
    packer.packString(info.vm().value());
    packer.packString(info.dataCentre().value());
    packer.packString(info.region().value());
    packer.packString(info.address().host());
    packer.packInt(info.address().port());
    packer.packLong(delta.incarnation());
    packer.packInt(delta.state().rank());
  }

  private static MemberDelta readDelta(MessageUnpacker unpacker)
      throws IOException, MalformedMessageException {
    requireFields("delta", DELTA_FIELDS, unpacker.unpackArrayHeader());
    VmId vm = new VmId(unpacker.unpackString());
    DataCentreId dataCentre = new DataCentreId(unpacker.unpackString());
    RegionId region = new RegionId(unpacker.unpackString());
    PeerAddress address = new PeerAddress(unpacker.unpackString(), unpacker.unpackInt());
    long incarnation = unpacker.unpackLong();
    MemberState state = MemberState.ofRank(unpacker.unpackInt());
    return new MemberDelta(new MemberInfo(vm, dataCentre, region, address), incarnation, state);
  }

  private static void requireFields(String element, int expected, int actual)
      throws MalformedMessageException {
    if (actual != expected) {
      throw new MalformedMessageException(
          element + " must have " + expected + " fields, got " + actual);
    }
  }
}
