/** Tables of the documentation that are generated from the code. */
package org.vanillaslip.internal.documentation;
