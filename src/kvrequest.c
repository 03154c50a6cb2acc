#include "kvrequest.h"

#include <glib.h>

void
kvrequest_init (struct kvrequest *request, enum kvrequest_kind kind,
                const char *key)
{
  *request = (struct kvrequest){ .kind = kind, .key = g_strdup (key) };
}

void
kvrequest_finish (struct kvrequest *request)
{
  const struct kv_txn *txn = &request->txn;

  for (size_t i = 0; i < txn->compare_count; i++)
    g_free ((char *)txn->compares[i].key);
  for (size_t i = 0; i < txn->write_count; i++)
    {
      g_free ((char *)txn->writes[i].key);
      g_free ((char *)txn->writes[i].value);
    }
  g_free ((void *)txn->compares);
  g_free ((void *)txn->writes);
  g_free (request->key);
}

void
kvrequest_copy_txn (struct kvrequest *request, const struct kv_txn *txn)
{
  struct kv_compare *compares = g_new0 (struct kv_compare, txn->compare_count);
  struct kv_write *writes = g_new0 (struct kv_write, txn->write_count);

  for (size_t i = 0; i < txn->compare_count; i++)
    {
      compares[i] = txn->compares[i];
      compares[i].key = g_strdup (txn->compares[i].key);
    }
  for (size_t i = 0; i < txn->write_count; i++)
    {
      writes[i] = txn->writes[i];
      writes[i].key = g_strdup (txn->writes[i].key);
      writes[i].value = g_strdup (txn->writes[i].value);
    }
  request->txn = (struct kv_txn){ compares, txn->compare_count, writes,
                                  txn->write_count };
}

bool
kvrequest_is_for_lease (const struct kvrequest *request)
{
  return request->kind == KVREQUEST_LEASE_GRANT
         || request->kind == KVREQUEST_LEASE_KEEPALIVE
         || request->kind == KVREQUEST_LEASE_REVOKE;
}

void
kvrequest_send (const struct kvrequest *request, struct kv *service,
                kv_done done, void *data)
{
  const struct kv_ops *ops = service->ops;

  switch (request->kind)
    {
    case KVREQUEST_GET:
      ops->get (service, request->key, done, data);
      break;
    case KVREQUEST_RANGE:
      ops->range (service, request->key, done, data);
      break;
    case KVREQUEST_TXN:
      ops->txn (service, &request->txn, done, data);
      break;
    case KVREQUEST_LEASE_GRANT:
      ops->lease_grant (service, request->duration_ns, done, data);
      break;
    case KVREQUEST_LEASE_KEEPALIVE:
      ops->lease_keepalive (service, request->lease_or_revision, done, data);
      break;
    case KVREQUEST_LEASE_REVOKE:
      ops->lease_revoke (service, request->lease_or_revision, done, data);
      break;
    case KVREQUEST_WATCH:
      ops->watch (service, request->key, request->lease_or_revision,
                  request->duration_ns, done, data);
      break;
    }
}

const char *
kvrequest_kind_name (enum kvrequest_kind kind)
{
  static const char *const names[] = {
    [KVREQUEST_GET] = "get",
    [KVREQUEST_RANGE] = "read",
    [KVREQUEST_TXN] = "transaction",
    [KVREQUEST_LEASE_GRANT] = "lease_grant",
    [KVREQUEST_LEASE_KEEPALIVE] = "lease_renewal",
    [KVREQUEST_LEASE_REVOKE] = "lease_end",
    [KVREQUEST_WATCH] = "watch",
  };

  return names[kind];
}
