/** A browser type that the declarations of the tRPC client name and Node's lack. */
type RequestInfo = string | URL | Request;
