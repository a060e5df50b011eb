package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillaslip.ItemName;

/**
 * One item of a list file.
 *
 * @param fields its fields without the name, named as in stored items
 */
record ListFileEntry(ItemName name, ObjectNode fields) {}
