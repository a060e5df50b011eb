package org.vanillaslip.internal.control.configuration;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.List;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.configuration.Fault;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.internal.platform.JsonLimits;
import org.vanillaslip.internal.platform.ObjectJsonCodec;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.messages.ConfigurationItems;
import org.vanillaslip.messages.ConfigurationObject;

/** Converts configuration items to and from messages between hosts. */
final class PeerItemCodec {

    /** Keeps a message well below the frame limit of peer links, and a complete transfer short. */
    static final int TARGET_MESSAGE_BYTES = 512 << 10;

    private final ConfigurationCodec mCodec;
    private final ObjectJsonCodec mJson = new ObjectJsonCodec(JsonLimits.storedValues());

    PeerItemCodec(ConfigurationCodec codec) {
        mCodec = codec;
    }

    /**
     * Encodes the oldest items up to the target size. Items of one version are never split between
     * messages, so that a receiver always has all items up to its highest version.
     */
    ConfigurationItems encode(List<VersionedItem> oldestFirst) {
        ConfigurationItems.Builder message = ConfigurationItems.newBuilder();
        int bytes = 0;
        long lastVersion = 0;
        for (VersionedItem item : oldestFirst) {
            if (bytes >= TARGET_MESSAGE_BYTES && item.version() != lastVersion) {
                break;
            }
            byte[] spec = mJson.toBytes(mCodec.encode(item.name(), item.item()));
            message.addObjects(
                    ConfigurationObject.newBuilder()
                            .setName(item.name().objectName())
                            .setVersion(item.version())
                            .setSpecJson(ByteString.copyFrom(spec)));
            bytes += spec.length;
            lastVersion = item.version();
        }
        return message.build();
    }

    Either<List<Fault>, VersionedItem> decode(ConfigurationObject object) {
        try {
            return mCodec.decode(
                    new StoredObject(
                            PlatformCollections.CONFIGURATION,
                            object.getName(),
                            object.getVersion(),
                            mJson.parse(object.getSpecJson().toByteArray())));
        } catch (IllegalArgumentException e) {
            return Either.left(
                    List.of(new Fault(object.getName(), "spec", "(malformed)", "a JSON object")));
        }
    }
}
