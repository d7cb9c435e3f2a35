/** Browser type used by the tRPC client's declarations; absent from Node's. */
type RequestInfo = string | URL | Request;
