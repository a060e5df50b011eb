package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillaslip.ItemName;

/**
 * One entry of a list file.
 *
 * @param fields fields except the name, with the field names of stored items
 */
record ListFileEntry(ItemName name, ObjectNode fields) {}
