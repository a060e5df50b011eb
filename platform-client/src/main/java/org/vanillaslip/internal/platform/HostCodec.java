package org.vanillaslip.internal.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.Host;
import org.vanillaslip.internal.configuration.Fault;

/** Converts entries of the platform's host list. */
public final class HostCodec {

    /** Decodes a stored object of the collection {@code hosts}. */
    public Either<List<Fault>, Host> decode(StoredObject object) {
        FieldReader fields = new FieldReader("host '" + object.name() + "'", object.spec());
        Host host =
                new Host(
                        object.name(),
                        new FailureDomain(fields.string("failureDomain")),
                        fields.string("peerAddress"),
                        fields.bool("leaving"));
        // The platform owns this collection and may add fields, so unknown ones are accepted.
        return fields.faults().isEmpty()
                ? Either.right(host)
                : Either.left(List.copyOf(fields.faults()));
    }

    /** Encodes a host as the spec of a stored object. */
    public ObjectNode encode(Host host) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("failureDomain", host.failureDomain().name())
                .put("peerAddress", host.peerAddress())
                .put("leaving", host.leaving());
    }
}
