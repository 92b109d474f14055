/** HTTP client, CBOR and JSON sizes, shared by all protocols. */
package org.mountlug.wire;
